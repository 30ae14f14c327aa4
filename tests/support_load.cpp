#include "support_load.h"
#include "../tools/standin_http_client.h"
#include <algorithm>

namespace plantainwall::test {

using Steady = std::chrono::steady_clock;

namespace {

    const char* const body = R"({"statements":["GET ready"],"read_only":true})";

    std::string nameOf(const ClientReply& reply)
    {
        std::error_code ec;
        const web::json::value json = web::json::value::parse(reply.body, ec);
        return json.has_string_field("name") ? json.at("name").as_string() : std::string();
    }

} // namespace

OpenLoad::OpenLoad(std::string address, const std::string& key, double perSecond, unsigned workers)
    : m_address(std::move(address))
    , m_headers({ { "Authorization", "Bearer " + key }, { "Plantainwall-Deadline-Ms", "2000" } })
    , m_perSecond(perSecond)
    , m_begin(Steady::now())
{
    for (unsigned i = 0; i < workers; ++i)
        m_threads.emplace_back([this] { work(); });
}

std::vector<LoadRecord> OpenLoad::stop()
{
    m_stop = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_records;
}

void OpenLoad::work()
{
    ClientConnection connection(m_address);
    while (!m_stop) {
        const double place = static_cast<double>(m_next++) / m_perSecond;
        std::this_thread::sleep_until(
            m_begin + std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(place)));
        LoadRecord record;
        record.sent = Steady::now();
        try {
            record.name = nameOf(connection.call("POST", "/v1/groups/g/query", body, Milliseconds(2500), m_headers));
        } catch (const std::exception&) {
            record.name.clear();
            // A host that is down refuses at once; the others' share of this thread's time must not suffer.
            std::this_thread::sleep_for(Milliseconds(5));
        }
        record.answered = Steady::now();
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_records.push_back(std::move(record));
    }
}

double largestExcess(const std::vector<LoadRecord>& records, double perSecond, double burst)
{
    std::vector<LoadRecord> admitted;
    std::copy_if(records.begin(), records.end(), std::back_inserter(admitted),
        [](const LoadRecord& record) { return !record.name.empty() && record.name != "rate_exceeded"; });
    std::sort(admitted.begin(), admitted.end(),
        [](const LoadRecord& a, const LoadRecord& b) { return a.answered < b.answered; });
    double largest = -burst;
    for (const LoadRecord& first : admitted) {
        double count = 0;
        for (const LoadRecord& record : admitted) {
            if (record.sent < first.sent)
                continue;
            ++count;
            const double length = std::chrono::duration<double>(record.answered - first.sent).count();
            largest = std::max(largest, count - burst - perSecond * length);
        }
    }
    return largest;
}

} // namespace plantainwall::test
