#include "support_line_fleet.h"
#include "support_process.h"
#include <filesystem>
#include <fstream>

namespace plantainwall::test {

using web::json::value;

void writeGatewaySettings(const std::string& path, const GatewayFileOptions& place)
{
    // A host that starts meanwhile must not read a part of the file.
    const std::string next = path + ".next";
    std::ofstream(next) << "[gateway]\nhost = \"" << place.host
                        << "\"\ndata_centre = \"dc\"\nregion = \"r\"\ncaller_listen = \"" << loopback(place.callers)
                        << "\"\nstatus_listen = \"" << loopback(place.status) << "\"\npeer_listen = \""
                        << loopback(place.peers) << "\"\nstore = \"" << loopback(place.store) << "\"\npromotions = \""
                        << loopback(place.store) << "\"\nshutdown_grace = \"" << place.shutdownGrace.count()
                        << "ms\"\nlarge_fleet = " << place.largeFleet << "\npeer_advertise = \""
                        << (place.peersAdvertised == 0 ? std::string() : loopback(place.peersAdvertised)) << "\"\n"
                        << (place.memory.empty() ? std::string() : "memory = \"" + place.memory + "\"\n")
                        << (place.maxDescriptors == 0
                                   ? std::string()
                                   : "max_descriptors = " + std::to_string(place.maxDescriptors) + "\n")
                        // Hosts lend connections only to servers of data centres whose region is known.
                        << "[regions]\ndc = \"r\"\n";
    std::filesystem::rename(next, path);
}

std::string configurationDocument(
    uint64_t version, const std::vector<LineRouteDraft>& routes, const std::vector<LineCustomerDraft>& customers)
{
    constexpr int64_t targetLatencyMs = 1500;
    value document = value::object();
    document["version"] = value::number(version);
    std::vector<value> list;
    for (const LineRouteDraft& draft : routes) {
        value route = value::object();
        route["name"] = value::string("route-" + draft.name);
        route["host"] = value::string(draft.name);
        route["service"] = value::string("ledger");
        route["kind"] = value::string(draft.consistency);
        route["timeout_ms"] = value::number(static_cast<int64_t>(draft.timeout.count()));
        route["target_latency_ms"] = value::number(targetLatencyMs);
        route["max_staleness_ms"] = value::number(static_cast<int64_t>(draft.staleness.count()));
        route["priority"] = value::number(1);
        list.push_back(route);
    }
    document["routes"] = value::array(list);
    value service = value::object();
    service["name"] = value::string("ledger");
    service["max_conns"] = value::number(32);
    service["sync_replicas"] = value::number(1);
    document["services"] = value::array({ service });
    list.clear();
    for (const LineCustomerDraft& draft : customers) {
        value customer = value::object();
        customer["name"] = value::string(draft.name);
        customer["rate_per_s"] = value::number(draft.rate);
        customer["burst"] = value::number(draft.rate);
        std::vector<value> keys;
        if (draft.keyValid)
            keys.push_back(value::string("key-" + draft.name));
        for (const std::string& key : draft.furtherKeys)
            keys.push_back(value::string(key));
        customer["api_keys"] = value::array(keys);
        list.push_back(customer);
    }
    document["tenants"] = value::array(list);
    return document.serialize();
}

std::string serverDocument(uint16_t port, const LineGroup::Registration& registration)
{
    value entry = value::object();
    entry["service"] = value::string("ledger");
    entry["address"] = value::string(loopback(port));
    entry["zone"] = value::string("dc");
    entry["version"] = value::string("v1");
    entry["slots"] = value::number(6);
    entry["state"] = value::string("ready");
    entry["warmup_left_ms"] = value::number(0);
    entry["db_role"] = value::string(registration.primary ? "primary" : "replica");
    entry["born"] = value::number(registration.bornUnixMs);
    entry["seq_no"] = value::number(registration.sequence);
    return entry.serialize();
}

} // namespace plantainwall::test
