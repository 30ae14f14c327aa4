#include "support_customers.h"
#include <stdexcept>

namespace plantainwall::test {

const Milliseconds inForceLimit(3000);

uint64_t revisionInForce(const EntryHost& host)
{
    const web::json::value status = host.status();
    return status.has_field("configuration_revision") ? status.at("configuration_revision").as_number().to_uint64() : 0;
}

bool inForceEverywhere(Fleet& fleet, uint64_t revision, Milliseconds timeout)
{
    size_t next = 0;
    return waitUntil(
        [&] {
            while (next < fleet.size() && revisionInForce(fleet.host(next)) >= revision)
                ++next;
            return next == fleet.size();
        },
        timeout);
}

void requireInForce(Fleet& fleet)
{
    const uint64_t revision = revisionInForce(fleet.host(0));
    if (!inForceEverywhere(fleet, revision))
        throw std::runtime_error("revision " + std::to_string(revision) + " is not in force everywhere");
}

std::string everyHostAnswers(
    Fleet& fleet, const std::string& key, const std::string& statement, const std::string& code, Milliseconds timeout)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    for (size_t i = 0; i < fleet.size(); ++i) {
        CallerReply reply;
        const Milliseconds left = std::chrono::duration_cast<Milliseconds>(end - std::chrono::steady_clock::now());
        const bool answered = waitUntil(
            [&] {
                reply = Caller(key).query(fleet.at(i), fleet.group().name(), { statement });
                return reply.name == code;
            },
            left);
        if (!answered)
            return fleet.host(i).name() + " answers " + reply.http.text + reply.http.error;
    }
    return {};
}

void settleRateSlices(Fleet& fleet)
{
    const auto sum = [&fleet] {
        double parts = 0;
        for (size_t i = 0; i < fleet.size(); ++i)
            parts += fleet.host(i).status().at("seat_part").as_double();
        return parts;
    };
    if (!waitUntil([&] { return sum() > 0.999; }, Milliseconds(20000)))
        throw std::runtime_error("only " + std::to_string(sum()) + " of the seats are in use");
}

std::string addSecondTeam(Fleet& fleet)
{
    std::string key = fleet.operators().addTeam("gnomes", "ledger");
    // A customer that is new to a host has no tokens there at first.
    const std::string failure = everyHostAnswers(fleet, key, "PUT ready yes", "ok", Milliseconds(10000));
    if (!failure.empty())
        throw std::runtime_error("the second team is not served: " + failure);
    return key;
}

std::string valueInDatabase(Fleet& fleet, const std::string& key)
{
    const std::string connection = fleet.group().connect(0);
    const Execution read = fleet.group().execute(0, connection, "", 0, { "GET " + key }, json("{'read_only': true}"));
    return read.result().value_or("");
}

} // namespace plantainwall::test
