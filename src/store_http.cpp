#include "store_http.h"
#include <cpprest/base_uri.h>
#include <cpprest/json.h>
#include <mutex>
#include <set>

namespace plantainwall {

namespace {

    using web::json::value;

    std::string encodeQuery(std::string_view text) { return web::uri::encode_data_string(std::string(text)); }

    StoreEntry readEntry(const value& json)
    {
        StoreEntry entry;
        entry.key = json.at("key").as_string();
        if (!json.at("value").is_null())
            entry.value = json.at("value").as_string();
        entry.revision = json.at("revision").as_number().to_uint64();
        return entry;
    }

    StoreListing readListing(const value& json)
    {
        StoreListing listing;
        listing.revision = json.at("revision").as_number().to_uint64();
        for (const value& item : json.at("entries").as_array())
            listing.entries.push_back(readEntry(item));
        return listing;
    }

    PlatformHost readHost(const value& json)
    {
        const std::string state = json.at("state").as_string();
        return { json.at("name").as_string(),
            state == "leaving" ? PlatformHostState::Leaving : PlatformHostState::Live };
    }

    /// Throws CallFailed unless the reply has one of two statuses.
    void requireStatus(const HttpReply& reply, int first, int second)
    {
        if (reply.sendState != SendState::Answered)
            throw CallFailed(reply.sendState, "store: " + reply.error);
        if (reply.status == first || reply.status == second)
            return;
        // A gateway or store that fails during the request may return 5xx although the change has been applied.
        const SendState state = reply.status >= 500 ? SendState::MaybeSent : SendState::Answered;
        throw CallFailed(state, "store answered with status " + std::to_string(reply.status));
    }

    /// Parses an answer. The JSON library throws something else than json_exception for some escapes.
    value parseAnswer(const std::string& body)
    {
        try {
            return value::parse(body);
        } catch (const std::range_error&) {
            throw web::json::json_exception("an escaped surrogate is not one of a pair");
        }
    }

    /// Returns whether an entry read under a key can be the answer.
    bool isEntryOf(const HttpReply& reply, const std::string& key)
    {
        if (reply.status != 200)
            return true;
        const value json = parseAnswer(reply.body);
        return json.has_string_field("key") && json.at("key").as_string() == key;
    }

    value parseBody(const HttpReply& reply) { return reply.body.empty() ? value::object() : parseAnswer(reply.body); }

    /// Revisions of the changes that this process has made. Each change has a revision of its own, so an answer with a
    /// known one is a copy. Safe to use from any thread.
    class AppliedRevisions {
    public:
        /// Returns whether the reply can be that to a change that has not been answered yet, and records its revision.
        bool isNew(const HttpReply& reply, uint64_t expectedRevision)
        {
            if (reply.status != 200 && reply.status != 409)
                return true;
            const value json = parseAnswer(reply.body);
            if (!json.has_boolean_field("applied"))
                return false;
            const uint64_t revision = json.at("revision").as_number().to_uint64();
            if (!json.at("applied").as_bool())
                return revision != expectedRevision;
            std::lock_guard<std::mutex> lock(m_mutex);
            if (revision <= expectedRevision)
                return false;
            // Revisions of a restored store go back: a second attempt succeeds.
            if (m_revisions.erase(revision) != 0)
                return false;
            m_revisions.insert(revision);
            if (m_revisions.size() > maxRevisions)
                m_revisions.erase(m_revisions.begin());
            return true;
        }

    private:
        static constexpr size_t maxRevisions = 1024; ///< Copies are late by less than so many changes take.
        std::mutex m_mutex;
        std::set<uint64_t> m_revisions;
    };

    class HttpStore final : public Store {
    public:
        HttpStore(std::shared_ptr<HttpCaller> caller, Duration timeout)
            : m_caller(std::move(caller))
            , m_timeout(timeout)
        {
        }

        pplx::task<std::optional<StoreEntry>> get(std::string_view key) override
        {
            Request request { "GET", keyPath(key) };
            request.fits = [key = std::string(key)](const HttpReply& reply) { return isEntryOf(reply, key); };
            return callStore<std::optional<StoreEntry>>(
                request, { 200, 404 }, [](const HttpReply& reply) -> std::optional<StoreEntry> {
                    if (reply.status == 404)
                        return std::nullopt;
                    return readEntry(parseBody(reply));
                });
        }

        pplx::task<StoreListing> list(std::string_view prefix) override
        {
            return callStore<StoreListing>({ "GET", "/v1/list?prefix=" + encodeQuery(prefix) }, { 200, 200 },
                [](const HttpReply& reply) { return readListing(parseBody(reply)); });
        }

        pplx::task<SwapResult> compareAndSwap(std::string_view key, uint64_t expectedRevision,
            std::optional<std::string> newValue, std::string_view lease) override
        {
            value body = value::object();
            body["value"] = newValue ? value::string(*newValue) : value::null();
            body["expected_revision"] = value::number(expectedRevision);
            body["lease"] = value::string(std::string(lease));
            Request request { "PUT", keyPath(key), body.serialize() };
            request.fits = [applied = m_applied, expectedRevision](
                               const HttpReply& reply) { return applied->isNew(reply, expectedRevision); };
            return callStore<SwapResult>(request, { 200, 409 }, [](const HttpReply& reply) {
                const value json = parseBody(reply);
                return SwapResult { json.at("applied").as_bool(), json.at("revision").as_number().to_uint64() };
            });
        }

        pplx::task<StoreListing> watch(std::string_view prefix, uint64_t afterRevision, Duration wait) override
        {
            const int64_t waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
            return callStore<StoreListing>(
                { "GET",
                    "/v1/watch?prefix=" + encodeQuery(prefix) + "&after=" + std::to_string(afterRevision)
                        + "&wait_ms=" + std::to_string(waitMs),
                    {}, wait },
                { 200, 200 }, [](const HttpReply& reply) { return readListing(parseBody(reply)); });
        }

        pplx::task<std::string> grantLease(Duration ttl) override
        {
            value body = value::object();
            body["ttl_ms"] = value::number(
                static_cast<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(ttl).count()));
            return callStore<std::string>({ "POST", "/v1/leases", body.serialize() }, { 200, 201 },
                [](const HttpReply& reply) { return parseBody(reply).at("lease").as_string(); });
        }

        pplx::task<bool> renewLease(std::string_view lease) override
        {
            return callStore<bool>({ "POST", "/v1/leases/" + encodeQuery(lease) + "/renew", "{}" }, { 200, 404 },
                [](const HttpReply& reply) { return reply.status == 200; });
        }

        pplx::task<void> revokeLease(std::string_view lease) override
        {
            // 404: the lease has already ended, so nothing remains to be revoked.
            return callStore<bool>(
                { "DELETE", "/v1/leases/" + encodeQuery(lease) }, { 200, 404 }, [](const HttpReply&) { return true; })
                .then([](bool) {});
        }

        pplx::task<std::vector<PlatformHost>> hosts() override
        {
            return callStore<std::vector<PlatformHost>>(
                { "GET", "/v1/hosts" }, { 200, 200 }, [](const HttpReply& reply) {
                    std::vector<PlatformHost> hosts;
                    const value json = parseBody(reply);
                    for (const value& item : json.at("hosts").as_array())
                        hosts.push_back(readHost(item));
                    return hosts;
                });
        }

    private:
        struct Request {
            std::string method;
            std::string path;
            std::string body {};
            Duration extraTimeout {};
            std::function<bool(const HttpReply&)> fits {}; ///< See HttpCall.
        };

        static std::string keyPath(std::string_view key)
        {
            return "/v1/kv/" + web::uri::encode_uri(std::string(key), web::uri::components::path);
        }

        template <typename Result, typename Reader>
        pplx::task<Result> callStore(const Request& request, std::pair<int, int> statuses, Reader reader)
        {
            HttpCall call;
            call.method = request.method;
            call.path = request.path;
            call.body = request.body;
            call.timeout = m_timeout + request.extraTimeout;
            if (request.fits) {
                call.fits = [fits = request.fits](const HttpReply& reply) {
                    try {
                        return fits(reply);
                    } catch (const web::json::json_exception&) {
                        return true; // It has no valid form, whosever it is.
                    }
                };
            }
            if (!request.body.empty())
                call.headers["Content-Type"] = "application/json";
            return m_caller->call(std::move(call)).then([statuses, reader](const HttpReply& reply) -> Result {
                requireStatus(reply, statuses.first, statuses.second);
                try {
                    return reader(reply);
                } catch (const web::json::json_exception& error) {
                    // The change may have been applied although its reply is unreadable.
                    throw CallFailed(SendState::MaybeSent, std::string("store answer is malformed: ") + error.what());
                }
            });
        }

        std::shared_ptr<HttpCaller> m_caller;
        Duration m_timeout;
        std::shared_ptr<AppliedRevisions> m_applied = std::make_shared<AppliedRevisions>();
    };

} // namespace

std::shared_ptr<Store> makeHttpStore(std::shared_ptr<HttpCaller> caller, Duration timeout)
{
    return std::make_shared<HttpStore>(std::move(caller), timeout);
}

} // namespace plantainwall
