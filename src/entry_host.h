#pragma once

#include "plantainwall/plantainwall.h"
#include <memory>

namespace plantainwall {

/// One entry host: listeners, filter chain and controllers, wired together.
class EntryHost {
public:
    explicit EntryHost(const Settings&);
    ~EntryHost();
    EntryHost(const EntryHost&) = delete;
    EntryHost& operator=(const EntryHost&) = delete;

    /// Opens the listeners and starts the controllers. Throws std::exception if an address cannot be bound.
    void start();

    /// Shuts down without cutting a request: tells balancer and peers, serves on while they take notice, refuses new
    /// connections, waits for the requests in progress (at most drainLimit), then closes. Blocks.
    void drain();

    /// Time for balancer and peers to stop sending new work, during which it is still served.
    static constexpr Duration drainNotice = std::chrono::milliseconds(1500);
    /// Time that open transactions get to end, counted from the start of the shutdown.
    static constexpr Duration transactionDrainLimit = std::chrono::seconds(10);
    static constexpr Duration drainLimit = std::chrono::seconds(60);

private:
    class Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace plantainwall
