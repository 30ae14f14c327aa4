#pragma once

#include "deployment.h"

namespace plantainwall::review {

/// Writes again and again.
class Writer {
public:
    static constexpr Milliseconds writePause { 15 };

    Writer(Deployment& deployment, const Host& host, std::string tenant, std::set<std::string>& acknowledged)
        : m_deployment(deployment)
        , m_host(host)
        , m_tenant(std::move(tenant))
        , m_acknowledged(acknowledged)
        , m_caller(deployment.loop, deployment.record, "writer")
    {
        m_caller.quiet = true;
        open();
    }

private:
    void open()
    {
        m_caller.open(m_host.callerPort(), "order-post", "key-" + m_tenant, [this](bool open) {
            if (open)
                write();
            else
                openLater();
        });
    }

    void openLater()
    {
        m_deployment.after(writePause * 10, [this] { open(); });
    }

    void write()
    {
        const std::string id = m_deployment.freshId();
        m_caller.query(id, "WRITE 1a4 " + id, [this, id](const Caller::Answer& answer) {
            if (answer.ok()) {
                m_acknowledged.insert(id);
                m_deployment.record.note("WRITE " + id + " is acknowledged to its caller");
            }
            if (answer.closed)
                openLater();
            else
                m_deployment.after(writePause, [this] { write(); });
        });
    }

    Deployment& m_deployment;
    const Host& m_host;
    std::string m_tenant;
    std::set<std::string>& m_acknowledged; ///< Ids of the writes that were acknowledged to callers.
    Caller m_caller;
};

} // namespace plantainwall::review
