#pragma once

namespace CLI {
class App;
}

namespace plantainwall {

/// Adds the command that explains a request from the logs of the entry hosts.
void addExplainCommand(CLI::App&);

} // namespace plantainwall
