#pragma once

#include "link_message.h"

namespace plantainwall {

/// Lends this host's connections to backend servers to other entry hosts, one object for each that is connected. The
/// borrower decides everything; what it closes, or loses by its own end, is rolled back.
class LinkLender {
public:
    using Send = std::function<void(const std::string& line)>;

    /// pool opens the connections; servers finds registered servers; leaving says whether this host shuts down and
    /// lends nothing new.
    LinkLender(BackendConnector& pool, FindServer servers, std::function<bool()> leaving, Send);
    ~LinkLender();
    LinkLender(const LinkLender&) = delete;
    LinkLender& operator=(const LinkLender&) = delete;

    /// Takes a line of the borrower. Throws std::exception if it is malformed.
    void line(std::string_view);

    /// Destroys what has ended; to be called every few milliseconds.
    void tick();

    /// Returns the number of connections that are lent.
    size_t size() const { return m_links.size(); }

private:
    struct LentLink;

    void open(const LinkMessage&);
    void send(const LinkMessage&);
    void end(uint64_t link);

    BackendConnector& m_pool;
    FindServer m_findServer;
    std::function<bool()> m_leaving;
    Send m_send;
    std::map<uint64_t, std::unique_ptr<LentLink>> m_links;
    std::vector<std::unique_ptr<LentLink>> m_ended; ///< Callers up the stack may still hold a reference.
};

} // namespace plantainwall
