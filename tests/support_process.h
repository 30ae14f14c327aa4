#pragma once

#include <chrono>
#include <cpprest/json.h>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

// cpprestsdk's macro for string literals collides with template parameters in Boost headers included later.
#undef U

namespace plantainwall::test {

using Milliseconds = std::chrono::milliseconds;
using Headers = std::map<std::string, std::string>;

/// A program of PLANTAINWALL_BUILD_DIR run as a child process.
class Process {
public:
    /// Starts the program. Its output goes to outputFile(). Throws std::runtime_error if it cannot be started.
    Process(const std::string& program, const std::vector<std::string>& arguments);

    /// Kills the process with SIGKILL if it still runs, and removes its output file.
    ~Process();

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return m_pid; }

    /// Sends a signal; does nothing if the process has ended.
    void signal(int number);
    void terminate() { signal(15); }
    void kill() { signal(9); }
    /// Stops the process (SIGSTOP) and lets it go on (SIGCONT).
    void pause() { signal(19); }
    void resume() { signal(18); }

    bool running();

    /// Waits until the process has ended. Returns whether it did within the timeout.
    bool wait(Milliseconds timeout);

    /// Returns the exit status, 128 + signal number if a signal ended it, or -1 while it runs.
    int exitStatus() const { return m_exitStatus; }

    const std::string& outputFile() const { return m_outputFile; }

    /// Returns what the process has written to stdout and stderr.
    std::string output() const;

private:
    pid_t m_pid = -1;
    int m_exitStatus = -1;
    std::string m_outputFile;
};

/// Returns a free port of 127.0.0.1. It stays reserved for this test process: the kernel gives it to nobody, but a
/// child that sets SO_REUSEADDR can listen on it.
uint16_t reserveport();

/// Returns "127.0.0.1:" and a port.
std::string loopback(uint16_t port);

/// Answer of an HTTP call.
struct HttpResult {
    int status = 0; ///< 0: no answer.
    Headers headers; ///< Names in lower case.
    web::json::value body; ///< Null if the body is empty or not JSON.
    std::string text;
    std::string error; ///< Why there is no answer.
};

/// Calls http://address + target on a new connection. Never throws: a failure is described by the result.
HttpResult callHttp(const std::string& method, const std::string& address, const std::string& target,
    const std::string& body = {}, const Headers& headers = {}, Milliseconds timeout = Milliseconds(2000));
HttpResult getJson(const std::string& address, const std::string& target, const Headers& headers = {},
    Milliseconds timeout = Milliseconds(2000));
HttpResult postJson(const std::string& address, const std::string& target, const web::json::value& body,
    const Headers& headers = {}, Milliseconds timeout = Milliseconds(2000));

/// Parses JSON written with single quotes in place of double quotes, for short literals in tests.
web::json::value json(std::string text);

/// Waits until the predicate holds. Returns whether it did within the timeout.
bool waitUntil(const std::function<bool()>& predicate, Milliseconds timeout);

} // namespace plantainwall::test
