#pragma once

namespace CLI {
class App;
}

namespace plantainwall {

/// Adds the commands serve and check of an entry host.
void addServeCommands(CLI::App&);

} // namespace plantainwall
