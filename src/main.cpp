#include "cli_explain.h"
#include "cli_operator.h"
#include "cli_serve.h"
#include "gateway_command.h"
#include "plantainwall/plantainwall.h"
#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app { "Database proxy with session consistency", "plantainwall" };
    app.set_version_flag("--version", PLANTAINWALL_VERSION);
    app.require_subcommand(1);
    plantainwall::addServeCommands(app);
    plantainwall::platform::addGatewayCommand(app);
    plantainwall::addExplainCommand(app);
    plantainwall::addOperatorCommands(app);
    return plantainwall::runCommandLine(app, argc, argv);
}
