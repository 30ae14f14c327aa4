// Sends the log of a primary to its peers: one thread and one connection for each, so that a slow peer delays no other.
#include "database_standin_member.h"
#include "standin_http_client.h"
#include <thread>

namespace plantainwall {

namespace {

    // Below the 1 s of silence that counts against a primary: one lost answer must not reach it.
    const std::chrono::milliseconds replicationTimeout(500);
    const std::chrono::milliseconds retryDelay(25);

    std::string batchText(const ReplicationBatch& batch, const std::string& primary)
    {
        std::vector<value> entries;
        entries.reserve(batch.entries.size());
        for (const LogEntryPtr& entry : batch.entries)
            entries.push_back(entryToJson(*entry));
        return makeObject(
            { { "term", batch.term }, { "primary", value::string(primary) }, { "prev_term", batch.previous.term },
                { "prev_position", batch.previous.position }, { "entries", value::array(entries) } })
            .serialize();
    }

    /// Returns the last position that the peer has according to its answer.
    uint64_t handleReply(Member& member, const ReplicationBatch& batch, const ClientReply& reply)
    {
        const value body = value::parse(reply.body);
        if (reply.status != 200) {
            member.observeTerm(integerField(body, "term"));
            std::this_thread::sleep_for(retryDelay);
            return batch.previous.position;
        }
        if (boolField(body, "ok"))
            return batch.previous.position + batch.entries.size();
        const uint64_t stepBack = batch.previous.position == 0 ? 0 : batch.previous.position - 1;
        return std::min(stepBack, integerField(body, "received"));
    }

    [[noreturn]] void replicateTo(Member& member, const std::string& address)
    {
        ClientConnection connection(address);
        uint64_t peerPosition = 0;
        uint64_t term = 0;
        SteadyTime lastSent;
        while (true) {
            const ReplicationBatch batch = member.nextBatch(peerPosition, lastSent);
            lastSent = std::chrono::steady_clock::now();
            if (batch.term != term)
                connection.close();
            term = batch.term;
            try {
                const ClientReply reply = connection.call(
                    "POST", "/v1/replicate", batchText(batch, member.options().name), replicationTimeout);
                peerPosition = handleReply(member, batch, reply);
                // A refused previous entry is answered by an earlier one at once.
                if (peerPosition < batch.previous.position)
                    lastSent = SteadyTime();
            } catch (const std::exception&) {
                std::this_thread::sleep_for(retryDelay);
            }
        }
    }

} // namespace

void startReplication(Member& member)
{
    for (const std::pair<const std::string, std::string>& peer : member.options().peers)
        std::thread([&member, address = peer.second] { replicateTo(member, address); }).detach();
}

} // namespace plantainwall
