#pragma once

#include "gateway.h"
#include <deque>

namespace plantainwall {

/// Records connections and commands, which the test accepts and answers itself.
class FakeConnector final : public BackendConnector {
public:
    struct Link final : BackendLink {
        Link(FakeConnector& owner, size_t index)
            : owner(owner)
            , index(index)
        {
        }
        ~Link() override { owner.links[index].closed = true; }
        void send(const BackendCommand& command) override { owner.links[index].commands.push_back(command); }

        FakeConnector& owner;
        size_t index;
    };

    struct Opened {
        std::string server;
        std::string customer;
        BackendObserver* observer = nullptr;
        std::deque<BackendCommand> commands; ///< Unanswered commands.
        bool accepted = false;
        bool closed = false;
    };

    std::unique_ptr<BackendLink> open(
        const ServerEntry& entry, const std::string& customer, BackendObserver& observer) override
    {
        links.push_back({ entry.id, customer, &observer, {}, false, false });
        return std::make_unique<Link>(*this, links.size() - 1);
    }

    bool carries(const BackendCommand& command) const override
    {
        return command.id.size() + command.text.size() + command.name.size() + command.argument.size()
            + (command.after ? positionBytes : 0)
            <= maxCommandBytes;
    }
    std::optional<ServerStatus> statusOf(const BackendReply&) override { return std::nullopt; }

    /// Accepts every pending connection.
    void acceptAll();

    /// Answers the oldest command of a link.
    void reply(size_t link, BackendReply);

    /// Answers every command that the gateway itself has sent (not on behalf of a caller) with success at the given
    /// position, until none is left.
    void answerOwnCommands(LogPosition);

    /// Accepts every pending connection. Returns the first open link with an unanswered command, if there is one.
    std::optional<size_t> linkToAnswer();

    /// Returns the index of the open link with an unanswered statement of a caller, or links.size().
    size_t statementLink() const;

    static constexpr size_t positionBytes = 40; ///< Of a command with a position.
    size_t maxCommandBytes = SIZE_MAX;
    std::deque<Opened> links;
};

/// Records the notifications to the user of a connection.
struct FakeObserver final : BackendObserver {
    void backendOpened() override { ++opened; }
    void backendReplied(BackendReply reply) override { replies.push_back(std::move(reply)); }
    void backendClosed(BackendCloseReason reason) override { closed = reason; }

    unsigned opened = 0;
    std::vector<BackendReply> replies;
    std::optional<BackendCloseReason> closed;
};

/// Records the answers to a caller.
struct FakeCaller final : CallerSink {
    void answer(const Statement&, const StatementAnswer& answer) override { answers.push_back(answer); }
    void close() override { closed = true; }

    std::vector<StatementAnswer> answers;
    bool closed = false;
};

/// Admits all customers except the ones that a test lists as refused.
struct FakeQuota final : QuotaGate {
    void setLimit(const GatewayCustomer&) override { }
    void removeCustomer(const std::string&) override { }
    void requestToken(const std::string& customer, std::function<void(QuotaBuckets::Verdict)> handler) override
    {
        handler({ refused.count(customer) == 0, std::chrono::milliseconds(100) });
    }

    std::set<std::string> refused;
};

/// A gateway with one service that has a primary "p" and two replicas "r1" and "r2", and one route for each
/// consistency: "primary", "bounded" and "own". The key of customer "hatter" is "key".
struct GatewayFixture {
    explicit GatewayFixture(const GatewaySettings& = {});

    /// Opens a session and returns its number.
    uint64_t open(FakeCaller&, const std::string& database);
    void execute(uint64_t session, StatementKind, const std::string& text, const std::string& id = "1");
    void pass(Duration);

    /// Confirms the primary and its position to the gateway by a write of another caller.
    void provePrimary(LogPosition);

    static std::shared_ptr<GatewayConfiguration> configuration(uint64_t version);

    Instant now { std::chrono::seconds(1000) };
    FakeConnector connector;
    FakeQuota quota;
    Metrics metrics;
    Gateway gateway;
};

BackendReply okReply(const std::string& row, LogPosition position, TransactionState = TransactionState::Idle);
BackendReply errorReply(BackendError, TransactionState = TransactionState::Idle);

} // namespace plantainwall
