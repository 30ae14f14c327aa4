#pragma once

#include "link_message.h"

namespace plantainwall {

/// Lends this host's connections to backend servers to one other entry host; there is one object for each connected
/// borrower. The borrower controls the connections. When it closes one, or ends itself, an open transaction is rolled
/// back.
class LinkLender {
public:
    using Send = std::function<void(const std::string& line)>;
    /// Returns the load of a server at this host, or nothing if it is not told to borrowers.
    using LoadOf = std::function<std::optional<ServerLoadSample>(const std::string& server)>;

    /// pool opens the connections; servers looks up registered servers; shuttingDown returns whether this host is
    /// shutting down and lends no further connections.
    LinkLender(BackendConnector& pool, FindServer servers, std::function<bool()> shuttingDown, Send, LoadOf = nullptr);
    ~LinkLender();
    LinkLender(const LinkLender&) = delete;
    LinkLender& operator=(const LinkLender&) = delete;

    /// Sets which servers get no statements through this host.
    void setRefusedServers(std::function<bool(const std::string& server)> closed) { m_isClosed = std::move(closed); }

    /// Handles a line from the borrower. Throws std::exception if it is malformed.
    void line(std::string_view);

    /// Destroys ended links. Must be called every few milliseconds.
    void tick();

    /// Returns the number of lent connections.
    size_t size() const { return m_links.size(); }

private:
    struct LentLink;

    void open(const LinkMessage&);
    void refuse(uint64_t link, BackendCloseReason);
    bool isClosed(const std::string& server) const { return m_isClosed && m_isClosed(server); }
    /// Returns false if the borrower could not read the message; it has not been sent then.
    bool send(const LinkMessage&);
    void end(uint64_t link);

    BackendConnector& m_pool;
    FindServer m_findServer;
    std::function<bool()> m_shuttingDown;
    std::function<bool(const std::string& server)> m_isClosed;
    Send m_send;
    LoadOf m_loadOf;
    LinkFormat m_format = LinkFormat::Strings; ///< What the borrower reads.
    std::map<uint64_t, std::unique_ptr<LentLink>> m_links;
    std::vector<std::unique_ptr<LentLink>> m_ended; ///< Callers on the stack may still hold a reference.
};

} // namespace plantainwall
