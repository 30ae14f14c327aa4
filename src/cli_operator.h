#pragma once

#include "http_caller.h"
#include <functional>
#include <iosfwd>

namespace CLI { // NOLINT(readability-identifier-naming): name given by CLI11
class App;
}

namespace plantainwall {

/// Dependencies of the operator commands.
struct OperatorCommandContext {
    std::function<std::shared_ptr<HttpCaller>(const std::string& server)> makeCaller;
    std::function<void(Duration)> pause;
    std::ostream* out = nullptr;
    std::ostream* error = nullptr;
};

/// Adds the operator commands: config, team, key, approve, limits, operator, status. A command that fails prints its
/// error and throws CLI::RuntimeError with the exit code (see OperatorExit).
void addOperatorCommands(CLI::App&);
void addOperatorCommands(CLI::App&, const OperatorCommandContext&);

/// Parses the command line, runs the selected command and returns its exit code; 2 for incorrect usage.
int runCommandLine(CLI::App&, int argc, const char* const* argv);

} // namespace plantainwall
