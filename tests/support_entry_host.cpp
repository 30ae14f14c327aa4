#include "support_entry_host.h"
#include "key_digest.h"
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace plantainwall::test {

const char* const bootstrapCredential = "op_root_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";

namespace {

    constexpr const char* peerSecret = "0123456789abcdef0123456789abcdef";
    constexpr const char* tokenSecret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

    std::pair<std::string, std::string> splitPlace(const std::string& place)
    {
        const size_t slash = place.find('/');
        return { place.substr(0, slash), place.substr(slash + 1) };
    }

    std::string quotedList(const std::vector<std::string>& texts)
    {
        std::string list;
        for (const std::string& text : texts)
            list += (list.empty() ? "\"" : ", \"") + text + "\"";
        return "[" + list + "]";
    }

} // namespace

EntryHost::EntryHost(EntryHostOptions options)
    : m_options(std::move(options))
    , m_address(loopback(reserveport()))
    , m_peerAddress(loopback(reserveport()))
{
    m_settingsFile = "/tmp/plantainwall-test-" + std::to_string(getpid()) + "-"
        + m_address.substr(m_address.find(':') + 1) + ".toml";
    std::ofstream file(m_settingsFile);
    file << "[host]\nname = \"" << m_options.name << "\"\ndata_centre = \"" << m_options.dataCentre << "\"\nregion = \""
         << m_options.region << "\"\nlisten = \"" << m_address << "\"\npeer_listen = \"" << m_peerAddress
         << "\"\nstore = \"http://" << m_options.storeAddress << "\"\nseed_peers = " << quotedList(m_options.seedPeers)
         << "\npeer_secret = \"" << peerSecret << "\"\nbackend_credential = \"backend-credential\"\n"
         << "[operator]\nbootstrap_digest = \"" << keyDigest(bootstrapCredential) << "\"\n"
         << m_options.settings;
    file.close();
    restart();
}

void EntryHost::restart()
{
    m_process
        = std::make_unique<Process>("plantainwall", std::vector<std::string> { "serve", "--config", m_settingsFile });
}

void EntryHost::waitUntilHealthy(Milliseconds timeout)
{
    if (!waitUntil([this] { return getJson(m_address, "/healthz").status == 200; }, timeout))
        throw std::runtime_error("entry host " + m_options.name + " is not healthy: " + m_process->output());
}

web::json::value EntryHost::status() const
{
    return getJson(
        m_address, "/operator/v1/status", { { "Authorization", std::string("Bearer ") + bootstrapCredential } })
        .body;
}

std::string EntryHost::hostConfig() const
{
    const std::string& peer = m_options.peerAddressForOthers.empty() ? m_peerAddress : m_options.peerAddressForOthers;
    return "caller_address = \"http://" + m_address + "\"\npeer_address = \"http://" + peer + "\"\ndata_centre = \""
        + m_options.dataCentre + "\"\nregion = \"" + m_options.region + "\"\n";
}

uint64_t Operator::set(const std::string& path, const std::string& toml) const
{
    const Headers headers { { "Authorization", std::string("Bearer ") + bootstrapCredential } };
    const std::string target = "/operator/v1/config/" + path;
    const HttpResult present = getJson(m_address, target, headers);
    web::json::value body = web::json::value::object();
    body["value"] = web::json::value::string(toml);
    body["expected_revision"]
        = present.body.has_field("revision") ? present.body.at("revision") : web::json::value::number(0);
    body["change_id"] = web::json::value::string(randomName(26));
    const HttpResult result = callHttp("PUT", m_address, target, body.serialize(), headers, Milliseconds(10000));
    if (result.status != 200)
        throw std::runtime_error("configuration of " + path + " refused: " + result.text + result.error);
    return result.body.at("revision").as_number().to_uint64();
}

std::string Operator::addTeam(
    const std::string& team, const std::string& service, double rate, double burst, double weight) const
{
    set("teams/" + team + "/services", "services = [\"" + service + "\"]");
    set("teams/" + team + "/limits",
        "rate_per_s = " + std::to_string(rate) + "\nburst = " + std::to_string(burst)
            + "\nweight = " + std::to_string(weight));
    set("services/" + service + "/approvals/" + team, "approved = true");
    return addKey(team, team + "-1");
}

std::string Operator::addKey(const std::string& team, const std::string& keyId) const
{
    std::string key = generateKey(keyPrefix, keyId);
    set("teams/" + team + "/keys/" + keyId,
        "digest = \"" + keyDigest(key) + "\"\ncreated = \"2026-12-04\"\nwithdrawn = false");
    return key;
}

void Operator::withdrawKey(const std::string& team, const std::string& keyId) const
{
    const std::string path = "teams/" + team + "/keys/" + keyId;
    const Headers headers { { "Authorization", std::string("Bearer ") + bootstrapCredential } };
    std::string value = getJson(m_address, "/operator/v1/config/" + path, headers).body.at("value").as_string();
    const size_t place = value.find("withdrawn = false");
    if (place == std::string::npos)
        throw std::runtime_error("key is not active: " + value);
    set(path, value.replace(place, 17, "withdrawn = true"));
}

std::string groupConfig(const DatabaseGroup& group, const std::vector<std::string>& dataCentres)
{
    std::string toml;
    for (size_t i = 0; i < group.size(); ++i) {
        const std::pair<std::string, std::string> place = splitPlace(dataCentres.at(i % dataCentres.size()));
        toml += "[[members]]\nname = \"" + group.memberName(i) + "\"\naddress = \"http://" + group.address(i)
            + "\"\ndata_centre = \"" + place.first + "\"\nregion = \"" + place.second + "\"\n";
    }
    return toml;
}

std::optional<std::string> CallerReply::result(size_t i) const
{
    if (!http.body.has_array_field("results") || http.body.at("results").size() <= i)
        return std::nullopt;
    const web::json::value& result = http.body.at("results").as_array().at(i);
    return result.is_null() ? std::nullopt : std::make_optional(result.as_string());
}

Headers Caller::headers() const
{
    Headers headers { { "Plantainwall-Deadline-Ms", std::to_string(deadlineMs) } };
    if (!m_key.empty())
        headers["Authorization"] = "Bearer " + m_key;
    if (!session.empty())
        headers["Plantainwall-Session"] = session;
    return headers;
}

CallerReply Caller::take(const HttpResult& http)
{
    CallerReply reply;
    reply.http = http;
    if (http.body.has_string_field("name")) {
        reply.name = http.body.at("name").as_string();
        reply.run = http.body.at("run").as_string();
    }
    if (http.body.has_string_field("session")) {
        reply.session = http.body.at("session").as_string();
        session = reply.session;
    }
    return reply;
}

CallerReply Caller::query(const std::string& address, const std::string& group,
    const std::vector<std::string>& statements, const web::json::value& extra)
{
    web::json::value body = extra;
    std::vector<web::json::value> list;
    list.reserve(statements.size());
    for (const std::string& statement : statements)
        list.push_back(web::json::value::string(statement));
    body["statements"] = web::json::value::array(list);
    return post(address, "/v1/groups/" + group + "/query", body);
}

CallerReply Caller::read(const std::string& address, const std::string& group, const std::string& statement)
{
    return query(address, group, { statement }, json("{'read_only': true}"));
}

CallerReply Caller::post(const std::string& address, const std::string& path, const web::json::value& body)
{
    return take(postJson(address, path, body, headers(), Milliseconds(deadlineMs + 2000)));
}

CallerReply Caller::get(const std::string& address, const std::string& path)
{
    return take(getJson(address, path, headers(), Milliseconds(deadlineMs + 2000)));
}

Fleet::Fleet()
    : Fleet(Options())
{
}

Fleet::Fleet(const Options& options)
    : m_platform(std::make_unique<Platform>(options.platform))
    , m_group(std::make_unique<DatabaseGroup>(options.group))
{
    if (options.ownStoreRoutes)
        m_storeProxy
            = std::make_unique<FaultProxy>(std::vector<std::string>(options.dataCentres.size(), m_platform->address()));
    std::vector<std::string> seeds;
    for (size_t i = 0; i < options.dataCentres.size(); ++i) {
        const std::pair<std::string, std::string> place = splitPlace(options.dataCentres[i]);
        EntryHostOptions host;
        host.name = std::string("host-") + static_cast<char>('a' + i);
        host.dataCentre = place.first;
        host.region = place.second;
        host.storeAddress = m_platform->address();
        host.seedPeers = seeds;
        host.settings = options.settings;
        if (m_storeProxy)
            host.storeAddress = m_storeProxy->address(i);
        m_hosts.push_back(std::make_unique<EntryHost>(host));
        seeds.push_back(m_hosts.back()->peerAddress());
        m_platform->setHost(host.name, "live");
    }
    for (const std::unique_ptr<EntryHost>& host : m_hosts)
        host->waitUntilHealthy();
    m_operator = std::make_unique<Operator>(at(0));
    m_operator->set("fleet/token_keys", std::string("[[keys]]\nid = 1\nsecret = \"") + tokenSecret + "\"\n");
    for (const std::unique_ptr<EntryHost>& host : m_hosts)
        m_operator->set("fleet/hosts/" + host->name(), host->hostConfig());
    m_operator->set("services/ledger/groups/" + m_group->name(), groupConfig(*m_group, options.dataCentres));
    m_key = m_operator->addTeam("hats", "ledger");
    for (size_t i = 0; i < size(); ++i) {
        Caller probe(m_key);
        if (!waitUntil(
                [&] { return probe.query(at(i), m_group->name(), { "PUT ready yes" }).ok(); }, Milliseconds(15000)))
            throw std::runtime_error("the fleet does not serve writes: " + host(i).process().output());
    }
}

void Fleet::faultStore(size_t i, const std::string& mode, int delayMs, bool existingOnly)
{
    m_storeProxy->setFault(i, mode, delayMs, existingOnly);
}

} // namespace plantainwall::test
