#include "cli_operator.h"
#include <CLI/CLI.hpp>
#include <iostream>
#include <thread>

namespace plantainwall {

void addOperatorCommands(CLI::App& app)
{
    OperatorCommandContext context;
    context.makeCaller = [](const std::string& server) { return makeHttpCaller(server, 1); };
    context.pause = [](Duration delay) { std::this_thread::sleep_for(delay); };
    context.out = &std::cout;
    context.error = &std::cerr;
    addOperatorCommands(app, context);
}

} // namespace plantainwall
