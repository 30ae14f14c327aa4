#pragma once

namespace CLI {
class App;
}

namespace plantainwall {

/// Adds the commands of an entry host: serve, check.
void addServeCommands(CLI::App&);

} // namespace plantainwall
