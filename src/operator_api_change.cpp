#include "json_text.h"
#include "operator_api.h"
#include <algorithm>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>

namespace plantainwall {

using web::json::value;

namespace {

    // The store accepts values of up to 1 MB. The envelope escapes the text, which at most doubles the size of ordinary
    // TOML.
    constexpr size_t maxValueBytes = 256 * 1024;

    pplx::task<OperatorReply> ready(OperatorReply reply) { return pplx::task_from_result(std::move(reply)); }

    bool isChangeId(std::string_view text)
    {
        return !text.empty() && text.size() <= Caps().maxRequestIdBytes
            && text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
            == std::string_view::npos;
    }

    OperatorReply invalidReply(const std::vector<ConfigFault>& faults)
    {
        const ResultCodeInfo& info = resultCodeInfo(ResultCode::ConfigurationInvalid);
        value json = value::parse(operatorError(ResultCode::ConfigurationInvalid, {}).body);
        json["faults"] = value::array();
        for (size_t i = 0; i < faults.size(); ++i) {
            json["faults"][i]["path"] = value::string(faults[i].path);
            json["faults"][i]["reason"] = value::string(faults[i].reason);
        }
        return { info.httpStatus, json.serialize() };
    }

    OperatorReply conflictReply(
        const std::optional<StoreEntry>& present, const std::optional<ConfigEnvelope>& envelope, uint64_t expected)
    {
        const uint64_t winner = present ? present->revision : 0;
        const std::string author = envelope ? envelope->author : "";
        OperatorReply reply = operatorError(ResultCode::ConfigurationConflict,
            "the path is at revision " + std::to_string(winner) + (author.empty() ? "" : " by " + author)
                + ", not at revision " + std::to_string(expected));
        value json = value::parse(reply.body);
        json["applied"] = value::boolean(false);
        json["winning_revision"] = value::number(winner);
        json["winning_author"] = value::string(author);
        reply.body = json.serialize();
        return reply;
    }

} // namespace

std::vector<ConfigFault> OperatorApi::faultsOf(const Change& change) const
{
    if (!change.value)
        return checkConfigPath(change.path);
    if (change.value->size() > maxValueBytes)
        return { { change.path, "is larger than " + std::to_string(maxValueBytes) + " bytes" } };
    const ParsedConfig parsed = parseConfig(change.path, *change.value);
    if (!parsed.value)
        return parsed.faults;
    const std::shared_ptr<const ConfigSnapshot> snapshot = m_copy->current();
    return snapshot ? checkAgainst(*snapshot, change.path, *parsed.value) : std::vector<ConfigFault>();
}

pplx::task<OperatorReply> OperatorApi::startChange(
    bool remove, const std::string& path, const Identity& identity, const std::string& body, const Query& query)
{
    value json = body.empty() ? value::object() : parseJson(body);
    // The query may carry these fields too, since some HTTP clients cannot send a body with DELETE.
    for (const char* name : { "expected_revision", "change_id" }) {
        const auto it = query.find(name);
        if (it != query.end())
            json[name] = name[0] == 'e' ? parseJson(it->second) : value::string(web::uri::decode(it->second));
    }
    const ChangePtr change = std::make_shared<Change>();
    change->path = path;
    if (!remove)
        change->value = json.at("value").as_string();
    const value& expected = json.at("expected_revision");
    if (!expected.is_integer() || !expected.as_number().is_uint64())
        return ready(operatorError(ResultCode::BadRequest, "expected_revision must be a whole number"));
    change->expectedRevision = expected.as_number().to_uint64();
    change->changeId = json.at("change_id").as_string();
    if (!isChangeId(change->changeId))
        return ready(operatorError(ResultCode::BadRequest, "change_id must be 1 to 128 of A-Z a-z 0-9 - _ ."));
    change->author = identity.name;
    change->time = m_options.time();
    const std::vector<ConfigFault> faults = faultsOf(*change);
    return faults.empty() ? attempt(change) : ready(invalidReply(faults));
}

pplx::task<OperatorReply> OperatorApi::attempt(const ChangePtr& change)
{
    ++change->attempts;
    return m_store->get(std::string(configPrefix) + change->path)
        .then([self = shared_from_this(), change](const pplx::task<std::optional<StoreEntry>>& task) {
            std::optional<StoreEntry> present;
            try {
                present = task.get();
            } catch (const CallFailed&) {
                return self->retry(change);
            }
            const std::optional<ConfigEnvelope> envelope
                = present && present->value ? decodeEnvelope(*present->value) : std::optional<ConfigEnvelope>();
            if (envelope && envelope->contains(change->changeId))
                return ready(self->confirmChange(*change, *present, true));
            if ((present ? present->revision : 0) != change->expectedRevision)
                return ready(conflictReply(present, envelope, change->expectedRevision));
            return self->swap(change, present);
        });
}

pplx::task<OperatorReply> OperatorApi::swap(const ChangePtr& change, const std::optional<StoreEntry>& present)
{
    ConfigEnvelope envelope;
    envelope.value = change->value;
    envelope.changeId = change->changeId;
    envelope.author = change->author;
    envelope.time = change->time;
    envelope.baseRevision = change->expectedRevision;
    if (present && present->value) {
        if (const std::optional<ConfigEnvelope> before = decodeEnvelope(*present->value))
            envelope.recent = before->recent;
    }
    envelope.recent.insert(envelope.recent.begin(), change->changeId);
    envelope.recent.resize(std::min(envelope.recent.size(), maxRecentChanges));
    StoreEntry entry { std::string(configPrefix) + change->path, encodeEnvelope(envelope), 0 };
    return m_store->compareAndSwap(entry.key, change->expectedRevision, entry.value, {})
        .then([self = shared_from_this(), change, entry](const pplx::task<SwapResult>& task) {
            try {
                const SwapResult result = task.get();
                if (result.applied) {
                    StoreEntry written = entry;
                    written.revision = result.revision;
                    return ready(self->confirmChange(*change, written, false));
                }
            } catch (const CallFailed& error) {
                // Retrying the compare-and-swap is safe: if the first one was applied, the key has a newer revision.
                change->maybeSent = change->maybeSent || error.sendState() == SendState::MaybeSent;
            }
            return self->retry(change);
        });
}

pplx::task<OperatorReply> OperatorApi::retry(const ChangePtr& change)
{
    if (change->attempts < m_options.maxAttempts) {
        return wait(m_options.retryDelay * (1 << (change->attempts - 1))).then([self = shared_from_this(), change] {
            return self->attempt(change);
        });
    }
    OperatorReply reply = operatorError(ResultCode::StoreUnavailable,
        change->maybeSent ? "the change may have been applied; look it up by its change id"
                          : "the change was not applied");
    value json = value::parse(reply.body);
    json["applied"] = change->maybeSent ? value::null() : value::boolean(false);
    json["run"] = value::string(std::string(runStateName(change->maybeSent ? RunState::Unknown : RunState::NotRun)));
    json["change_id"] = value::string(change->changeId);
    reply.body = json.serialize();
    return ready(std::move(reply));
}

OperatorReply OperatorApi::confirmChange(const Change& change, const StoreEntry& entry, bool foundById)
{
    // A change that is found by its id although this request sent no compare-and-swap was audited by the earlier
    // request that applied it.
    if (!foundById || change.maybeSent) {
        m_options.audit({ change.author, change.value ? "set" : "delete", change.path, change.time,
            change.expectedRevision, entry.revision, change.changeId });
    }
    m_copy->changeAccepted(entry);
    value json = value::object();
    json["code"] = value::number(0);
    json["name"] = value::string("ok");
    json["applied"] = value::boolean(true);
    json["revision"] = value::number(entry.revision);
    json["change_id"] = value::string(change.changeId);
    return { 200, json.serialize() };
}

} // namespace plantainwall
