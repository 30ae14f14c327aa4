#pragma once

namespace CLI {
class App;
}

namespace plantainwall {

/// Adds the explain command, which reconstructs the course of a request from the logs of the entry hosts.
void addExplainCommand(CLI::App&);

} // namespace plantainwall
