#include "operator_api.h"
#include "json_text.h"
#include "key_digest.h"
#include "log_event.h"
#include "text_escape.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>
#include <ctime>

namespace plantainwall {

using web::json::value;

namespace {

    constexpr std::string_view apiPrefix = "/operator/v1/";
    constexpr std::string_view secretPath = "fleet/token_keys";
    constexpr Duration watchPollPeriod = std::chrono::milliseconds(50);

    pplx::task<OperatorReply> ready(OperatorReply reply) { return pplx::task_from_result(std::move(reply)); }

    std::string storeKey(std::string_view path) { return std::string(configPrefix) + std::string(path); }

    uint64_t readNumber(const std::map<std::string, std::string>& query, const std::string& name, uint64_t defaultValue)
    {
        const auto it = query.find(name);
        if (it == query.end())
            return defaultValue;
        if (it->second.empty() || it->second.size() > 18
            || it->second.find_first_not_of("0123456789") != std::string::npos)
            throw std::invalid_argument(name + " must be a whole number");
        return std::stoull(it->second);
    }

    std::string readText(const std::map<std::string, std::string>& query, const std::string& name)
    {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : web::uri::decode(it->second);
    }

    bool coversPath(const RoleGrant& role, std::string_view path)
    {
        switch (role.role) {
        case OperatorRole::PlatformOperator:
            return true;
        case OperatorRole::TeamOperator:
            return boost::algorithm::starts_with(path, "teams/" + role.subject + "/");
        case OperatorRole::BackendOwner:
            return boost::algorithm::starts_with(path, "services/" + role.subject + "/");
        case OperatorRole::Count:
            break;
        }
        return false;
    }

    /// Returns whether the path holds a service's approval of the team. Team operators may read these approvals.
    bool isApprovalOf(std::string_view path, const std::string& team)
    {
        const std::vector<std::string> parts = splitConfigPath(path);
        return parts.size() == 4 && parts[0] == "services" && parts[2] == "approvals" && parts[3] == team;
    }

    value describeEntry(const StoreEntry& entry)
    {
        const std::string path = entry.key.substr(configPrefix.size());
        value json = value::object();
        json["path"] = value::string(path);
        json["revision"] = value::number(entry.revision);
        json["value"] = value::null();
        const std::optional<ConfigEnvelope> envelope
            = entry.value ? decodeEnvelope(*entry.value) : std::optional<ConfigEnvelope>();
        if (!envelope)
            return json;
        if (path == secretPath)
            json["redacted"] = value::boolean(true);
        else if (envelope->value)
            json["value"] = value::string(*envelope->value);
        json["deleted"] = value::boolean(!envelope->value);
        json["change_id"] = value::string(envelope->changeId);
        json["author"] = value::string(envelope->author);
        json["time"] = value::string(envelope->time);
        json["base_revision"] = value::number(envelope->baseRevision);
        return json;
    }

    value ageMs(Duration age)
    {
        if (age == Duration::max())
            return value::null();
        return value::number(static_cast<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
    }

    /// Describes one path as JSON. age is the age of the local copy; absent if the entry was read from the store.
    OperatorReply describePath(const std::string& path, const std::optional<StoreEntry>& entry,
        std::optional<Duration> age, const std::string& changeId)
    {
        value json = entry ? describeEntry(*entry) : describeEntry({ storeKey(path), std::nullopt, 0 });
        json["source"] = value::string(age ? "copy" : "store");
        json["age_ms"] = age ? ageMs(*age) : value::number(0);
        const std::optional<ConfigEnvelope> envelope
            = entry && entry->value ? decodeEnvelope(*entry->value) : std::optional<ConfigEnvelope>();
        if (!changeId.empty()) {
            const bool applied = envelope && envelope->contains(changeId);
            // The copy may lag behind the store, so a missing change id does not show that the change was not applied.
            json["applied"] = applied || !age ? value::boolean(applied) : value::null();
        }
        const bool exists = envelope ? envelope->value.has_value() : entry && entry->value;
        const ResultCode code = exists ? ResultCode::Ok : ResultCode::UnknownRoute;
        json["code"] = value::number(static_cast<int32_t>(code));
        json["name"] = value::string(std::string(resultCodeInfo(code).name));
        return { resultCodeInfo(code).httpStatus, json.serialize() };
    }

} // namespace

OperatorReply operatorError(ResultCode code, const std::string& message)
{
    const ResultCodeInfo& info = resultCodeInfo(code);
    value json = value::object();
    json["code"] = value::number(static_cast<int32_t>(code));
    json["name"] = value::string(std::string(info.name));
    json["run"] = value::string(std::string(runStateName(info.runState)));
    json["message"] = value::string(message.empty() ? std::string(info.meaning) : message);
    return { info.httpStatus, json.serialize() };
}

void logAudit(const AuditRecord& record)
{
    logEvent(LogEvent::ConfigurationChanged,
        { { "author", record.author }, { "action", record.action }, { "path", record.path },
            { "change_time", record.time }, { "base_revision", record.baseRevision }, { "revision", record.revision },
            { "change_id", record.changeId } });
}

std::string wallClockTime()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts {};
    gmtime_r(&now, &parts);
    char text[32];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

OperatorApi::OperatorApi(OperatorApiOptions options, std::shared_ptr<Store> store, std::shared_ptr<ConfigCopy> copy,
    std::shared_ptr<Scheduler> scheduler)
    : m_options(std::move(options))
    , m_store(std::move(store))
    , m_copy(std::move(copy))
    , m_scheduler(std::move(scheduler))
{
}

std::optional<ResultCode> OperatorApi::authenticate(const Headers& headers, Identity& identity) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::shared_ptr<const ConfigSnapshot> snapshot = m_copy->current();
    if (!snapshot)
        return ResultCode::ConfigurationMissing;
    const auto header = headers.find("authorization");
    if (header == headers.end())
        return ResultCode::KeyMissing;
    if (!boost::algorithm::starts_with(header->second, scheme))
        return ResultCode::KeyInvalid;
    const std::string_view credential = std::string_view(header->second).substr(scheme.size());
    const std::string digest = keyDigest(credential);
    const std::optional<KeyParts> parts = splitKey(operatorPrefix, credential);
    const auto known = snapshot->operators.find(parts ? parts->id : std::string_view());
    const bool exists = known != snapshot->operators.end();
    // Compares a digest for unknown names too, so that the response time does not reveal which operators exist.
    if (digestsEqual(exists ? known->second.digest : absentDigest(), digest)) {
        identity = { known->first, known->second.roles };
        return std::nullopt;
    }
    if (snapshot->operators.empty() && digestsEqual(m_options.bootstrapDigest, digest)) {
        identity = { "bootstrap", { { OperatorRole::PlatformOperator, {} } } };
        return std::nullopt;
    }
    return ResultCode::KeyInvalid;
}

bool OperatorApi::mayWrite(const Identity& identity, std::string_view path)
{
    return std::any_of(
        identity.roles.begin(), identity.roles.end(), [&](const RoleGrant& role) { return coversPath(role, path); });
}

bool OperatorApi::mayRead(const Identity& identity, std::string_view path)
{
    return mayWrite(identity, path)
        || std::any_of(identity.roles.begin(), identity.roles.end(), [&](const RoleGrant& role) {
               return role.role == OperatorRole::TeamOperator && isApprovalOf(path, role.subject);
           });
}

pplx::task<OperatorReply> OperatorApi::handle(
    std::string_view method, std::string_view target, const Headers& headers, const std::string& body)
{
    try {
        Identity identity;
        if (const std::optional<ResultCode> refused = authenticate(headers, identity))
            return ready(operatorError(*refused, {}));
        return route(method, target, identity, body).then([](const pplx::task<OperatorReply>& task) {
            try {
                return task.get();
            } catch (const std::exception& error) {
                return operatorError(ResultCode::InternalError, error.what());
            }
        });
    } catch (const std::invalid_argument& error) {
        return ready(operatorError(ResultCode::BadRequest, error.what()));
    } catch (const web::json::json_exception& error) {
        return ready(operatorError(ResultCode::BadRequest, error.what()));
    } catch (const web::uri_exception& error) {
        return ready(operatorError(ResultCode::BadRequest, error.what()));
    } catch (const std::exception& error) {
        return ready(operatorError(ResultCode::InternalError, error.what()));
    }
}

pplx::task<OperatorReply> OperatorApi::route(
    std::string_view method, std::string_view target, const Identity& identity, const std::string& body)
{
    constexpr std::string_view entryPrefix = "config/";
    if (!boost::algorithm::starts_with(target, apiPrefix))
        return ready(operatorError(ResultCode::UnknownRoute, {}));
    target.remove_prefix(apiPrefix.size());
    const size_t queryStart = target.find('?');
    const std::string path = web::uri::decode(std::string(target.substr(0, queryStart)));
    if (!isUtf8(path))
        return ready(operatorError(ResultCode::BadRequest, "the path is not UTF-8"));
    const Query query = queryStart == std::string_view::npos
        ? Query()
        : web::uri::split_query(std::string(target.substr(queryStart + 1)));

    if (boost::algorithm::starts_with(path, entryPrefix)) {
        const std::string entryPath = path.substr(entryPrefix.size());
        const bool reading = method == "GET";
        if (!reading && method != "PUT" && method != "DELETE")
            return ready(operatorError(ResultCode::MethodNotAllowed, {}));
        if (!(reading ? mayRead(identity, entryPath) : mayWrite(identity, entryPath)))
            return ready(
                operatorError(ResultCode::PermissionDenied, "no role of " + identity.name + " covers the path"));
        return reading ? read(entryPath, query) : startChange(method == "DELETE", entryPath, identity, body, query);
    }
    if (path == "status" && m_options.status)
        return ready({ 200, m_options.status() });
    if (path != "list" && path != "watch")
        return ready(operatorError(ResultCode::UnknownRoute, {}));
    if (method != "GET")
        return ready(operatorError(ResultCode::MethodNotAllowed, {}));
    if (path == "list")
        return ready(list(identity, readText(query, "prefix"), 0));
    const Duration maxWait = m_options.maxWatchWait;
    const uint64_t waitMs = readNumber(query, "wait_ms", 10000);
    const Duration wait = std::min<Duration>(maxWait, std::chrono::milliseconds(std::min<uint64_t>(waitMs, 3600000)));
    return watch({ readText(query, "prefix"), readNumber(query, "after", 0), m_options.clock() + wait, identity });
}

pplx::task<OperatorReply> OperatorApi::read(const std::string& path, const Query& query)
{
    const std::string changeId = readText(query, "change_id");
    return m_store->get(storeKey(path))
        .then([self = shared_from_this(), path, changeId](const pplx::task<std::optional<StoreEntry>>& task) {
            try {
                return describePath(path, task.get(), std::nullopt, changeId);
            } catch (const CallFailed&) {
                const std::string key = storeKey(path);
                std::optional<StoreEntry> found;
                for (const StoreEntry& entry : self->m_copy->entries(key)) {
                    if (entry.key == key)
                        found = entry;
                }
                return describePath(path, found, self->m_copy->age(self->m_options.clock()), changeId);
            }
        });
}

OperatorReply OperatorApi::list(const Identity& identity, const std::string& prefix, uint64_t after) const
{
    value json = value::object();
    std::vector<value> items;
    uint64_t revision = after;
    for (const StoreEntry& entry : m_copy->entries(storeKey(prefix))) {
        revision = std::max(revision, entry.revision);
        if (entry.revision <= after || !mayRead(identity, std::string_view(entry.key).substr(configPrefix.size())))
            continue;
        value item = describeEntry(entry);
        const bool deleted = !entry.value || (item.has_field("deleted") && item.at("deleted").as_bool());
        // Watches report deletions; lists contain existing entries only.
        if (after > 0 || !deleted)
            items.push_back(std::move(item));
    }
    json["code"] = value::number(0);
    json["name"] = value::string("ok");
    json["revision"] = value::number(revision);
    json["age_ms"] = ageMs(m_copy->age(m_options.clock()));
    json["entries"] = value::array(std::move(items));
    return { 200, json.serialize() };
}

pplx::task<OperatorReply> OperatorApi::watch(const Watch& request)
{
    // Served from the local copy, so that watches put no load on the store.
    const std::vector<StoreEntry> entries = m_copy->entries(storeKey(request.prefix));
    const bool changed = std::any_of(entries.begin(), entries.end(), [&](const StoreEntry& entry) {
        return entry.revision > request.after
            && mayRead(request.identity, std::string_view(entry.key).substr(configPrefix.size()));
    });
    if (changed || m_options.clock() >= request.deadline)
        return ready(list(request.identity, request.prefix, request.after));
    return wait(watchPollPeriod).then([self = shared_from_this(), request] { return self->watch(request); });
}

pplx::task<void> OperatorApi::wait(Duration delay)
{
    const pplx::task_completion_event<void> done;
    m_scheduler->schedule(delay, [done] { done.set(); });
    return pplx::create_task(done);
}

} // namespace plantainwall
