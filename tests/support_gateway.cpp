#include "support_gateway.h"
#include <algorithm>

namespace plantainwall {

void FakeConnector::acceptAll()
{
    for (size_t i = 0; i < links.size(); ++i) {
        if (links[i].accepted || links[i].closed)
            continue;
        links[i].accepted = true;
        links[i].observer->backendOpened();
    }
}

void FakeConnector::reply(size_t link, BackendReply reply)
{
    links[link].commands.pop_front();
    links[link].observer->backendReplied(std::move(reply));
}

void FakeConnector::answerOwnCommands(LogPosition position)
{
    bool again = true;
    while (again) {
        again = false;
        for (size_t i = 0; i < links.size(); ++i) {
            if (links[i].closed || links[i].commands.empty() || !links[i].commands.front().id.empty())
                continue;
            const bool begins = links[i].commands.front().kind == BackendCommandKind::Begin
                || links[i].commands.front().kind == BackendCommandKind::BeginReadOnly;
            BackendReply answer;
            answer.position = position;
            answer.state = begins ? TransactionState::Open : TransactionState::Idle;
            reply(i, answer);
            again = true;
        }
    }
}

std::optional<size_t> FakeConnector::linkToAnswer()
{
    acceptAll();
    const auto it = std::find_if(
        links.begin(), links.end(), [](const Opened& link) { return !link.closed && !link.commands.empty(); });
    return it == links.end() ? std::nullopt : std::make_optional(static_cast<size_t>(it - links.begin()));
}

size_t FakeConnector::statementLink() const
{
    for (size_t i = 0; i < links.size(); ++i) {
        if (!links[i].closed && !links[i].commands.empty() && !links[i].commands.front().id.empty())
            return i;
    }
    return links.size();
}

GatewayFixture::GatewayFixture(const GatewaySettings& settings)
    : gateway(
        settings, connector, quota, [this] { return now; }, metrics, 1)
{
    gateway.setConfiguration(configuration(1));
    for (const char* id : { "p", "r1", "r2" }) {
        ServerEntry entry;
        entry.id = id;
        entry.service = "orders";
        entry.address = "127.0.0.1:1";
        entry.slots = 4;
        entry.primary = entry.id == "p";
        gateway.directory().registerServer(entry);
    }
    gateway.serversChanged();
}

std::shared_ptr<GatewayConfiguration> GatewayFixture::configuration(uint64_t version)
{
    std::shared_ptr<GatewayConfiguration> result = std::make_shared<GatewayConfiguration>();
    result->version = version;
    result->transactionIdle = std::chrono::seconds(3);
    const std::pair<const char*, ReadConsistency> routes[] = { { "primary", ReadConsistency::Primary },
        { "bounded", ReadConsistency::BoundedStaleness }, { "own", ReadConsistency::ReadYourWrites } };
    for (const auto& [name, consistency] : routes) {
        GatewayRoute route;
        route.name = name;
        route.service = "orders";
        route.consistency = consistency;
        route.statementTimeout = std::chrono::seconds(1);
        route.targetLatency = std::chrono::seconds(1);
        route.maxStaleness = std::chrono::milliseconds(1500);
        result->routes[name] = route;
    }
    result->services["orders"] = { "orders", 32, 1 };
    result->customers["hatter"] = { "hatter", 100, 100 };
    result->customerByKey["key"] = "hatter";
    return result;
}

uint64_t GatewayFixture::open(FakeCaller& caller, const std::string& database)
{
    uint64_t number = 0;
    const ResultCode code = gateway.openSession(caller, database, "key", number);
    if (code != ResultCode::Ok)
        throw std::runtime_error("gateway refused the session");
    return number;
}

void GatewayFixture::execute(uint64_t session, StatementKind kind, const std::string& text, const std::string& id)
{
    Statement statement;
    statement.kind = kind;
    statement.id = id;
    statement.text = text;
    gateway.execute(session, std::move(statement));
}

void GatewayFixture::pass(Duration duration)
{
    for (Duration passed {}; passed < duration; passed += std::chrono::milliseconds(20)) {
        now += std::chrono::milliseconds(20);
        gateway.tick();
    }
}

void GatewayFixture::provePrimary(LogPosition position)
{
    FakeCaller writer;
    const uint64_t session = open(writer, "primary");
    execute(session, StatementKind::Write, "WRITE a b", "prove");
    connector.acceptAll();
    connector.answerOwnCommands(position);
    connector.reply(connector.statementLink(), okReply("", position));
    gateway.closeSession(session);
}

BackendReply okReply(const std::string& row, LogPosition position, TransactionState state)
{
    BackendReply reply;
    if (!row.empty())
        reply.rows.push_back(row);
    reply.signature = "signed";
    reply.position = position;
    reply.state = state;
    return reply;
}

BackendReply errorReply(BackendError error, TransactionState state)
{
    BackendReply reply;
    reply.error = error;
    reply.state = state;
    return reply;
}

} // namespace plantainwall
