#include "support_cluster.h"
#include <algorithm>
#include <boost/lexical_cast.hpp>
#include <cstdlib>
#include <filesystem>

namespace plantainwall::test {

using web::json::value;

namespace {

    std::string number(double amount) { return boost::lexical_cast<std::string>(amount); }

    // Generous because a start competes with builds and other tests; a ready process returns at once.
    const Milliseconds startTimeout(20000);

    std::string makeDataDirectory()
    {
        std::string path = "/tmp/plantainwall-group-XXXXXX";
        if (mkdtemp(path.data()) == nullptr)
            throw std::runtime_error("cannot create " + path);
        return path;
    }

    value checked(const HttpResult& result, const std::string& what)
    {
        if (result.status != 200)
            throw std::runtime_error(
                what + ": status " + std::to_string(result.status) + " " + result.error + " " + result.text);
        return result.body;
    }

} // namespace

void waitUntilReady(Process& process, const std::string& address)
{
    const auto ready = [&] {
        return !process.running() || getJson(address, "/v1/admin/stats", {}, Milliseconds(500)).status == 200;
    };
    if (!waitUntil(ready, startTimeout) || !process.running())
        throw std::runtime_error("process at " + address + " did not start: " + process.output());
}

FaultProxy::FaultProxy(const std::vector<std::string>& targets)
    : m_control(loopback(reserveport()))
{
    std::vector<std::string> arguments = { "--control", m_control };
    for (const std::string& target : targets) {
        m_listen.push_back(loopback(reserveport()));
        arguments.insert(arguments.end(), { "--route", m_listen.back() + "=" + target });
    }
    m_process = std::make_unique<Process>("fault_proxy", arguments);
    waitUntilReady(*m_process, m_control);
}

void FaultProxy::post(const value& route, const std::string& mode, int delayMs, bool existingOnly)
{
    value body = value::object();
    body["route"] = route;
    body["mode"] = value::string(mode);
    body["delay_ms"] = value::number(delayMs);
    body["existing_only"] = value::boolean(existingOnly);
    checked(postJson(m_control, "/v1/fault", body), "fault " + mode);
}

void FaultProxy::setFault(size_t i, const std::string& mode, int delayMs, bool existingOnly)
{
    const std::string& address = m_listen.at(i);
    post(value::string(address.substr(address.rfind(':') + 1)), mode, delayMs, existingOnly);
}

void FaultProxy::setFaultOnAll(const std::string& mode, int delayMs, bool existingOnly)
{
    post(value::string("all"), mode, delayMs, existingOnly);
}

value FaultProxy::stats(size_t i) const
{
    const std::string& address = m_listen.at(i);
    return checked(getJson(m_control, "/v1/admin/stats"), "proxy stats")
        .at("routes")
        .at(address.substr(address.rfind(':') + 1));
}

std::string Execution::error() const { return body.has_field("error") ? body.at("error").as_string() : std::string(); }

std::optional<std::string> Execution::result(size_t i) const
{
    const value& item = body.at("results").at(i);
    return item.is_null() ? std::optional<std::string>() : item.as_string();
}

DatabaseGroup::DatabaseGroup(GroupOptions options)
    : m_options(std::move(options))
    , m_dataDirectory(makeDataDirectory())
    , m_members(m_options.members)
{
    for (size_t i = 0; i < size(); ++i)
        m_direct.push_back(loopback(reserveport()));
    if (m_options.behindProxy)
        startProxy();
    std::vector<size_t> others;
    for (size_t i = 0; i < size(); ++i) {
        startMember(i, i == 0);
        if (i != 0)
            others.push_back(i);
    }
    for (size_t i = 0; i < size(); ++i)
        waitUntilReady(*m_members[i], m_direct[i]);
    if (!waitForReplication(0, others, startTimeout))
        throw std::runtime_error("group " + name() + ": replicas do not follow the primary");
}

DatabaseGroup::~DatabaseGroup()
{
    m_members.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_dataDirectory, ignored);
}

/// Route i leads to member i for callers, route size + i * size + j to member j for replication from member i.
void DatabaseGroup::startProxy()
{
    std::vector<std::string> targets = m_direct;
    for (size_t from = 0; from < size(); ++from)
        targets.insert(targets.end(), m_direct.begin(), m_direct.end());
    m_proxy = std::make_unique<FaultProxy>(targets);
}

void DatabaseGroup::startMember(size_t i, bool primary)
{
    std::string peers;
    for (size_t j = 0; j < size(); ++j) {
        if (j != i)
            peers += (peers.empty() ? "" : ",") + memberName(j) + "="
                + (m_proxy ? m_proxy->address(replicationRoute(i, j)) : m_direct[j]);
    }
    std::vector<std::string> arguments = { "--group", name(), "--name", memberName(i), "--address", m_direct[i],
        "--slots", std::to_string(m_options.slots), "--connections", std::to_string(m_options.connections),
        "--connect-ms", number(m_options.connectMs), "--statement-ms", number(m_options.statementMs), "--lag-ms",
        number(m_options.lagMs), "--connection-idle-ms", number(m_options.connectionIdleMs), "--transaction-idle-ms",
        number(m_options.transactionIdleMs) };
    if (m_options.durable)
        arguments.insert(arguments.end(), { "--data", dataFile(i) });
    if (!peers.empty())
        arguments.insert(arguments.end(), { "--peers", peers });
    if (primary)
        arguments.emplace_back("--primary");
    m_members[i] = std::make_unique<Process>("database_standin", arguments);
}

void DatabaseGroup::restart(size_t i)
{
    m_members[i].reset();
    startMember(i, false);
    waitUntilReady(*m_members[i], m_direct[i]);
}

void DatabaseGroup::faultCallers(size_t i, const std::string& mode, int delayMs, bool existingOnly)
{
    m_proxy->setFault(i, mode, delayMs, existingOnly);
}

void DatabaseGroup::faultReplication(size_t from, size_t to, const std::string& mode, int delayMs, bool existingOnly)
{
    m_proxy->setFault(replicationRoute(from, to), mode, delayMs, existingOnly);
}

void DatabaseGroup::isolate(size_t i, const std::string& mode, bool withCallers, int delayMs)
{
    for (size_t j = 0; j < size(); ++j) {
        if (j == i)
            continue;
        faultReplication(i, j, mode, delayMs);
        faultReplication(j, i, mode, delayMs);
    }
    if (withCallers)
        faultCallers(i, mode, delayMs);
}

value DatabaseGroup::status(size_t i) const { return checked(getJson(m_direct[i], "/v1/status"), "status"); }

value DatabaseGroup::stats(size_t i) const { return checked(getJson(m_direct[i], "/v1/admin/stats"), "stats"); }

value DatabaseGroup::dump(size_t i) const { return checked(getJson(m_direct[i], "/v1/admin/dump"), "dump"); }

void DatabaseGroup::admin(size_t i, const value& body) const
{
    checked(postJson(m_direct[i], "/v1/admin", body), "admin");
}

bool DatabaseGroup::promote(size_t i, uint64_t term, const std::vector<size_t>& fenced) const
{
    value body = value::object();
    body["term"] = value::number(term);
    body["candidate"] = value::string("test");
    size_t granted = 0;
    for (const size_t member : fenced) {
        const HttpResult reply = postJson(m_direct[member], "/v1/fence", body);
        granted += reply.status == 200 && reply.body.at("granted").as_bool() ? 1 : 0;
    }
    return granted * 2 > size()
        && checked(postJson(m_direct[i], "/v1/promote", body), "promote").at("promoted").as_bool();
}

bool DatabaseGroup::waitForReplication(size_t i, const std::vector<size_t>& others, Milliseconds timeout) const
{
    const value wanted = status(i);
    const auto reached = [&](size_t member) {
        const value now = status(member);
        return now.at("last_term") == wanted.at("last_term") && now.at("received") == wanted.at("received")
            && now.at("applied") == wanted.at("received");
    };
    return waitUntil([&] { return std::all_of(others.begin(), others.end(), reached); }, timeout);
}

std::string DatabaseGroup::connect(size_t i) const
{
    const HttpResult reply = postJson(address(i), "/v1/connections", json("{'client':'test'}"));
    return reply.status == 200 ? reply.body.at("connection").as_string() : std::string();
}

Execution DatabaseGroup::execute(size_t i, const std::string& connection, const std::string& requestId, uint64_t term,
    const std::vector<std::string>& statements, const value& extra) const
{
    std::vector<value> lines;
    lines.reserve(statements.size());
    for (const std::string& statement : statements)
        lines.push_back(value::string(statement));
    value body = json("{'read_only':false,'step':'none','time_left_ms':1500}");
    body["request_id"] = value::string(requestId);
    body["term"] = value::number(term);
    body["statements"] = value::array(lines);
    for (const std::pair<std::string, value>& field : extra.as_object())
        body[field.first] = field.second;
    const HttpResult reply = postJson(address(i), "/v1/connections/" + connection + "/execute", body);
    return { reply.status, reply.body };
}

Platform::Platform(PlatformOptions options)
    : m_direct(loopback(reserveport()))
{
    m_process = std::make_unique<Process>("platform_standin",
        std::vector<std::string> { "--address", m_direct, "--list-lag-ms", number(options.listLagMs),
            "--rate-limit-writes", number(options.writesPerSecond), "--rate-limit-reads",
            number(options.readsPerSecond) });
    waitUntilReady(*m_process, m_direct);
    if (options.behindProxy)
        m_proxy = std::make_unique<FaultProxy>(std::vector<std::string> { m_direct });
}

void Platform::setFault(const std::string& mode, int delayMs, bool refuse) const
{
    value body = value::object();
    body["mode"] = value::string(mode);
    body["delay_ms"] = value::number(delayMs);
    body["refuse"] = value::boolean(refuse);
    checked(postJson(m_direct, "/v1/admin/fault", body), "platform fault");
}

void Platform::setHost(const std::string& name, const std::string& state) const
{
    value body = value::object();
    body["name"] = value::string(name);
    body["state"] = value::string(state);
    checked(postJson(m_direct, "/v1/admin/hosts", body), "platform host");
}

value Platform::stats() const { return checked(getJson(m_direct, "/v1/admin/stats"), "platform stats"); }

HttpResult Platform::put(const std::string& key, const value& newValue, uint64_t expectedRevision,
    const std::string& lease, Milliseconds timeout) const
{
    value body = value::object();
    body["value"] = newValue;
    body["expected_revision"] = value::number(expectedRevision);
    body["lease"] = value::string(lease);
    return callHttp("PUT", address(), "/v1/kv/" + key, body.serialize(), {}, timeout);
}

HttpResult Platform::get(const std::string& key) const { return getJson(address(), "/v1/kv/" + key); }

} // namespace plantainwall::test
