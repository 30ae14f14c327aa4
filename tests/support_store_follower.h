#pragma once

#include "store_follower.h"

namespace plantainwall {

/// A store whose calls are answered by the test.
struct FakeFollowerStore final : MetadataStore {
    void list(const std::string&, const std::string& afterKey, std::function<void(StoreItems)> handler) override
    {
        lists.push_back(afterKey);
        pending = std::move(handler);
    }
    void watch(const std::string&, uint64_t after, Duration, std::function<void(StoreItems)> handler) override
    {
        watches.push_back(after);
        pending = std::move(handler);
    }
    void write(const StoreWrite&, std::function<void(StoreResult)>) override { }
    void createLease(Duration, std::function<void(StoreResult)>) override { }
    void keepLease(uint64_t, std::function<void(StoreResult)>) override { }
    void cancelReads() override { }

    void answer(
        StoreOutcome outcome, std::vector<StoreItem> items = {}, uint64_t asOf = 0, bool more = false, uint64_t era = 0)
    {
        const std::function<void(StoreItems)> handler = std::move(pending);
        handler({ outcome, std::move(items), more, asOf, era });
    }

    std::vector<std::string> lists;
    std::vector<uint64_t> watches;
    std::function<void(StoreItems)> pending;
};

/// A configuration's value is its version.
struct FakeFollowerDecoder final : StoreDecoder {
    bool isConfiguration(std::string_view key) const override { return key == "config"; }
    bool isServer(std::string_view key) const override { return key.substr(0, 2) == "s/"; }
    std::optional<std::string> evacuatedDataCentre(std::string_view key) const override
    {
        return key.substr(0, 2) == "e/" ? std::make_optional(std::string(key.substr(2))) : std::nullopt;
    }
    std::shared_ptr<const GatewayConfiguration> configuration(const StoreItem& item) const override
    {
        const std::shared_ptr<GatewayConfiguration> result = std::make_shared<GatewayConfiguration>();
        result->version = std::stoul(item.value);
        return result;
    }
    std::string serverId(std::string_view key) const override { return std::string(key.substr(2)); }
    ServerEntry server(const StoreItem& item) const override
    {
        if (item.value == "broken")
            throw std::runtime_error("unreadable");
        ServerEntry entry;
        entry.id = serverId(item.key);
        return entry;
    }
};

/// A follower that has sent its first call; records what it passes to its observer.
struct FollowerFixture : StoreObserver {
    FollowerFixture()
        : follower(
            store, decoder, *this, [this](Duration, std::function<void()> task) { delayedTask = std::move(task); },
            [this] { return now; })
    {
        follower.start();
    }

    void configurationRead(std::shared_ptr<const GatewayConfiguration> next) override
    {
        versions.push_back(next->version);
    }
    void serversListed(const std::vector<ServerEntry>& servers) override
    {
        listed = servers.size();
        evacuationsWhenListed = evacuations.size();
    }
    void serverWritten(const ServerEntry& entry) override { written.push_back(entry.id); }
    void serverErased(const std::string& id) override { erased.push_back(id); }
    void evacuationsListed(const std::vector<std::string>& dataCentres) override
    {
        evacuations.push_back("list");
        for (const std::string& dataCentre : dataCentres)
            evacuations.push_back("+" + dataCentre);
    }
    void evacuationWritten(const std::string& dataCentre) override { evacuations.push_back("+" + dataCentre); }
    void evacuationErased(const std::string& dataCentre) override { evacuations.push_back("-" + dataCentre); }
    void ownItemsChanged() override { }
    void storeReachable(bool value) override { reachable.push_back(value); }
    void eraRead(uint64_t, bool) override { }
    void eventsRead(const StoreEvents& events) override { relayed.push_back(events); }
    void changesApplied(const StoreEvents& changes) override { applied.push_back(changes); }

    void runDelayedTask()
    {
        const std::function<void()> task = std::move(delayedTask);
        task();
    }

    Instant now { std::chrono::seconds(1000) };
    FakeFollowerStore store;
    FakeFollowerDecoder decoder;
    std::function<void()> delayedTask;
    std::vector<StoreEvents> relayed;
    std::vector<StoreEvents> applied;
    std::vector<uint64_t> versions;
    std::vector<std::string> written;
    std::vector<std::string> erased;
    std::vector<std::string> evacuations; ///< "list", "+dc" and "-dc" in the order of the calls.
    std::vector<bool> reachable;
    size_t listed = 0;
    size_t evacuationsWhenListed = 0;
    StoreFollower follower;
};

} // namespace plantainwall
