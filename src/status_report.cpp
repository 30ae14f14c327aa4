#include "status_report.h"
#include "text_escape.h"
#include <sstream>

namespace plantainwall {

namespace {

    using Json = web::json::value;

    constexpr std::string_view hostStateNames[] = { "live", "draining", "suspect", "dead" };
    static_assert(sizeof(hostStateNames) / sizeof(hostStateNames[0]) == static_cast<size_t>(HostState::Count),
        "one entry for each HostState");

    Json text(std::string_view value) { return Json::string(escapedUtf8(value)); }

    Json milliseconds(Duration duration)
    {
        return Json::number(
            static_cast<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

    Json positionJson(const LogPosition& position)
    {
        Json json = Json::object();
        json["term"] = Json::number(position.term);
        json["position"] = Json::number(position.position);
        return json;
    }

    Json memberJson(const MemberReport& member)
    {
        Json json = Json::object();
        json["name"] = text(member.name);
        json["owner"] = text(member.owner);
        json["reachable"] = Json::boolean(member.reachable);
        json["role"] = text(memberRoleName(member.status.role));
        json["term"] = Json::number(member.status.term);
        json["received"] = positionJson(member.status.received);
        json["applied"] = positionJson(member.status.applied);
        json["leaving"] = Json::boolean(member.status.leaving);
        json["connections_open"] = Json::number(static_cast<uint64_t>(member.connectionsOpen));
        json["connections_in_use"] = Json::number(static_cast<uint64_t>(member.connectionsInUse));
        json["connection_limit"] = Json::number(member.connectionLimit);
        json["queued"] = Json::number(static_cast<uint64_t>(member.queued));
        json["running"] = Json::number(member.running);
        return json;
    }

    Json groupJson(const GroupReport& group)
    {
        Json json = Json::object();
        json["name"] = text(group.name);
        json["primary"] = text(group.primary);
        json["term"] = Json::number(group.term);
        json["phase"] = text(group.phase);
        json["confirmed"] = positionJson(group.confirmed);
        json["acknowledgements_pending"] = Json::number(static_cast<uint64_t>(group.acknowledgementsPending));
        json["transactions"] = Json::number(static_cast<uint64_t>(group.transactions));
        std::vector<Json> members;
        for (const MemberReport& member : group.members)
            members.push_back(memberJson(member));
        json["members"] = Json::array(members);
        return json;
    }

    Json hostJson(const HostInfo& host)
    {
        Json json = Json::object();
        json["name"] = text(host.config.name);
        json["data_centre"] = text(host.config.dataCentre);
        json["state"] = text(hostStateNames[static_cast<size_t>(host.state)]);
        json["incarnation"] = Json::number(host.incarnation);
        return json;
    }

    std::string positionText(const Json& json)
    {
        return json.at("term").serialize() + ":" + json.at("position").serialize();
    }

    /// Returns a field for a line of words; empty if it is empty.
    std::string word(const Json& json, const std::string& name)
    {
        const std::string value = utf8Text(json.at(name).as_string());
        return value.empty() ? value : printableWord(value);
    }

    void writeGroup(std::ostream& out, const Json& group)
    {
        const std::string primary = word(group, "primary");
        out << "group " << word(group, "name") << "  primary " << (primary.empty() ? "none" : primary) << "  term "
            << group.at("term").serialize() << "  " << word(group, "phase") << "  confirmed "
            << positionText(group.at("confirmed")) << "\n";
        for (const Json& member : group.at("members").as_array())
            out << "  " << word(member, "name") << "  owner " << word(member, "owner") << "  "
                << (member.at("reachable").as_bool() ? word(member, "role") : "unreachable")
                << (member.at("leaving").as_bool() ? " leaving" : "") << "  received "
                << positionText(member.at("received")) << "  applied " << positionText(member.at("applied"))
                << "  connections " << member.at("connections_in_use").serialize() << "/"
                << member.at("connections_open").serialize() << "/" << member.at("connection_limit").serialize()
                << "  queued " << member.at("queued").serialize() << "\n";
    }

} // namespace

Json statusJson(const StatusReport& report)
{
    Json json = Json::object();
    json["host"] = text(report.host);
    json["version"] = text(PLANTAINWALL_VERSION);
    json["incarnation"] = Json::number(report.incarnation);
    json["draining"] = Json::boolean(report.draining);
    json["configuration_revision"] = Json::number(report.configRevision);
    json["configuration_age_ms"] = report.configAge ? milliseconds(*report.configAge) : Json::null();
    std::vector<Json> faults;
    for (const std::string& fault : report.configFaults)
        faults.push_back(text(fault));
    json["configuration_faults"] = Json::array(faults);
    std::vector<Json> hosts;
    for (const HostInfo& host : report.hosts)
        hosts.push_back(hostJson(host));
    json["hosts"] = Json::array(hosts);
    std::vector<Json> groups;
    for (const GroupReport& group : report.groups)
        groups.push_back(groupJson(group));
    json["groups"] = Json::array(groups);
    json["seat_part"] = Json::number(report.rateSliceFraction);
    std::vector<Json> shares;
    for (const ShareReport& share : report.shares) {
        Json entry = Json::object();
        entry["customer"] = text(share.customer);
        entry["share"] = Json::number(share.share);
        shares.push_back(entry);
    }
    json["shares"] = Json::array(shares);
    return json;
}

std::string statusText(const Json& report)
{
    std::ostringstream out;
    out << "host " << word(report, "host") << "  incarnation " << report.at("incarnation").serialize()
        << (report.at("draining").as_bool() ? "  draining" : "") << "\n"
        << "configuration  revision " << report.at("configuration_revision").serialize() << "  age "
        << report.at("configuration_age_ms").serialize() << " ms\n";
    for (const Json& fault : report.at("configuration_faults").as_array())
        out << "  not in force: " << printableLine(utf8Text(fault.as_string())) << "\n";
    for (const Json& host : report.at("hosts").as_array())
        out << "peer " << word(host, "name") << "  " << word(host, "data_centre") << "  " << word(host, "state")
            << "\n";
    for (const Json& group : report.at("groups").as_array())
        writeGroup(out, group);
    out << "rate  seats " << report.at("seat_part").serialize() << " of every customer's rate\n";
    for (const Json& share : report.at("shares").as_array())
        out << "  " << word(share, "customer") << "  share " << share.at("share").serialize() << "\n";
    return out.str();
}

} // namespace plantainwall
