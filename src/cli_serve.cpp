#include "cli_serve.h"
#include "entry_host.h"
#include "log_event.h"
#include "settings.h"
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <pthread.h>
#include <sodium.h>

namespace plantainwall {

namespace {

    constexpr int exitRefused = 1;

    /// Memory blocks from this size on are returned to the system when they are freed.
    constexpr int largeBlockBytes = 128 * 1024;

    struct ServeArguments {
        std::string config;
        bool json = false;
    };

    /// Returns the settings of a file. Prints its faults and throws CLI::RuntimeError if it has any.
    Settings loadOrFail(const std::string& path)
    {
        const SettingsResult result = loadSettings(path);
        for (const SettingsFault& fault : result.faults)
            std::cerr << settingsFaultText(fault) << std::endl;
        if (!result.faults.empty())
            throw CLI::RuntimeError(exitRefused);
        return result.settings;
    }

    /// Blocks SIGTERM and SIGINT in this thread and in all threads started later, so that sigwait() receives them.
    /// Ignores SIGPIPE. Returns the blocked signals.
    sigset_t blockSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return signals;
    }

    void serve(const ServeArguments& arguments)
    {
        // Fixed, as the allocator otherwise keeps ever larger freed buffers for reuse.
        mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
        const Settings settings = loadOrFail(arguments.config);
        const sigset_t signals = blockSignals();
        if (sodium_init() < 0)
            throw CLI::RuntimeError("libsodium cannot be initialized", exitRefused);
        initializeLogging(settings);
        logEvent(LogEvent::Started, { { "version", PLANTAINWALL_VERSION } });
        try {
            EntryHost host(settings);
            host.start();
            int signal = 0;
            sigwait(&signals, &signal);
            host.drain();
        } catch (const std::exception& error) {
            logEvent(LogEvent::InternalFailure, { { "error", error.what() } });
            throw CLI::RuntimeError(error.what(), exitRefused);
        }
        logEvent(LogEvent::Stopped, {});
    }

    void check(const ServeArguments& arguments)
    {
        loadOrFail(arguments.config);
        std::cout << arguments.config << ": no faults" << std::endl;
    }

} // namespace

void addServeCommands(CLI::App& app)
{
    const std::shared_ptr<ServeArguments> arguments = std::make_shared<ServeArguments>();
    CLI::App* serveCommand = app.add_subcommand("serve", "Run an entry host until SIGTERM, then shut down gracefully");
    serveCommand->callback([arguments] { serve(*arguments); });
    CLI::App* checkCommand = app.add_subcommand("check", "Check a settings file and print every fault");
    checkCommand->callback([arguments] { check(*arguments); });
    for (CLI::App* command : { serveCommand, checkCommand })
        command->add_option("--config", arguments->config, "Settings file (TOML)")->required();
}

} // namespace plantainwall
