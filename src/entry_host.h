#pragma once

#include "plantainwall/plantainwall.h"
#include <memory>

namespace plantainwall {

/// Owns the listeners, the filter chain and the controllers of one entry host.
class EntryHost {
public:
    explicit EntryHost(const Settings&);
    ~EntryHost();
    EntryHost(const EntryHost&) = delete;
    EntryHost& operator=(const EntryHost&) = delete;

    /// Opens the listeners and starts the controllers.
    /// @throws std::exception if an address cannot be bound.
    void start();

    /// Shuts down without interrupting a request: announces the shutdown to the load balancer and the peers, continues
    /// to serve for drainNotice, refuses new connections, waits for the requests in progress (at most drainLimit), then
    /// closes the listeners. Blocks until then.
    void drain();

    /// Time for the load balancer and the peers to stop sending new requests, which are still served meanwhile.
    static constexpr Duration drainNotice = std::chrono::milliseconds(1500);
    /// Time for open transactions to end, counted from the start of the shutdown.
    static constexpr Duration transactionDrainLimit = std::chrono::seconds(10);
    /// Longest duration of the shutdown until the listeners close, counted from its start.
    static constexpr Duration drainLimit = std::chrono::seconds(60);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace plantainwall
