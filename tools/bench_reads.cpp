#include "bench.h"
#include "dispatch_plan.h"
#include "member_codec.h"
#include "read_router.h"
#include <algorithm>

namespace plantainwall::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t sessionCount = 60;
    constexpr unsigned operationsPerSession = 40;
    constexpr double writePart = 0.1;
    constexpr double agedPart = 0.25; // Reads that state an age.
    constexpr double movePart = 0.02; // Operations after which the session moves to another data centre.
    constexpr Duration thinkTime = milliseconds(30);
    constexpr Duration statementTime = milliseconds(2);
    constexpr Duration watchPause = milliseconds(20); // As GroupShard::watchLater().
    constexpr Duration pollStep = milliseconds(2);
    constexpr Duration longestPoll = milliseconds(250);
    constexpr Duration defaultCatchUp = milliseconds(20); // As GroupShard::admitRead().
    constexpr Duration freshnessWait = milliseconds(200);
    constexpr size_t headBytes = 400; // Assumed HTTP head of a request and its answer, each half.

    /// What a copy holds at any time; position p is entry p - 1.
    struct Copy {
        std::vector<Instant> received;
        std::vector<Instant> applied;
        Duration lag = milliseconds(5);

        static uint64_t countAt(const std::vector<Instant>& times, Instant now)
        {
            return static_cast<uint64_t>(std::upper_bound(times.begin(), times.end(), now) - times.begin());
        }
    };

    struct Session {
        size_t dataCentre = 0;
        unsigned left = 0;
        uint64_t token = 0;
        bool wrote = false;
    };

    struct Read {
        size_t session = 0;
        size_t dataCentre = 0;
        Instant started {};
        uint64_t token = 0;
        std::optional<Duration> maxAge;
        bool wrote = false;
        bool byReplica = false;
        bool failed = false;
        Duration latency {};
        std::shared_ptr<DispatchPlan> plan;
    };

    struct Waiting {
        size_t read = 0;
        size_t member = 0;
        Instant arrived {};
        Instant until {};
    };

    /// The entry host of a data centre that owns the member there.
    struct Owner {
        std::unique_ptr<ReadRouter> router;
        std::vector<Waiting> waiting;
    };

    struct Totals {
        uint64_t reads = 0;
        uint64_t replica = 0;
        uint64_t bestReplica = 0;
        uint64_t baselineReplica = 0;
        uint64_t stale = 0;
        uint64_t failed = 0;
        uint64_t bytes = 0;
        uint64_t bestBytes = 0;
        uint64_t baselineBytes = 0;
        std::vector<double> latencies;
    };

    /// One group with a member in each data centre.
    class ReadTrace {
    public:
        ReadTrace(const Deployment& deployment, size_t primary, uint64_t seed)
            : m_deployment(deployment)
            , m_primary(primary)
            , m_queue(seed)
            , m_copies(deployment.dataCentres.size())
            , m_owners(deployment.dataCentres.size())
            , m_sessions(sessionCount)
        {
            for (const DataCentre& dataCentre : deployment.dataCentres)
                m_group.members.push_back({ "m-" + dataCentre.name, "", dataCentre.name, dataCentre.region });
            m_messageBytes = messageBytes();
        }

        void run(Duration length, Totals& totals)
        {
            for (size_t i = 0; i < m_owners.size(); ++i) {
                m_owners[i].router = std::make_unique<ReadRouter>(m_group.members, ReadCosts());
                m_owners[i].router->setPrimary(m_group.members[m_primary].name, 1);
                for (size_t member = 0; member < m_copies.size(); ++member)
                    poll(i, member);
            }
            for (size_t member = 0; member < m_copies.size(); ++member)
                changeLag(member);
            m_queue.every(milliseconds(10), milliseconds(10), [this] { checkTimeouts(); });
            for (size_t i = 0; i < m_sessions.size(); ++i)
                m_queue.after(milliseconds(500) + m_queue.exponential(thinkTime), [this, i] { operate(i); });
            m_queue.run(Instant(length));
            evaluate(totals);
        }

    private:
        size_t messageBytes() const
        {
            MemberRequest request;
            request.group = "plait-ledger-1";
            request.member = m_group.members[0].name;
            request.customer = "customer-1";
            request.requestId = std::string(32, 'r');
            request.statements = { "GET order/1234567" };
            request.readOnly = true;
            request.traceParent = std::string(55, 't');
            MemberAnswer answer;
            answer.code = ResultCode::Ok;
            answer.results = { std::string(200, 'v') };
            return encodeMemberRequest(request).size() + encodeMemberAnswer(answer).size() + headBytes;
        }

        /// Mostly a few milliseconds, at times some hundred, seldom seconds.
        void changeLag(size_t member)
        {
            const double kind = m_queue.uniform(0, 1);
            const double most = kind < 0.9 ? 10e3 : kind < 0.98 ? 200e3 : 3e6;
            m_copies[member].lag = fromMicroseconds(m_queue.uniform(most / 5, most));
            m_queue.after(m_queue.exponential(seconds(1)), [this, member] { changeLag(member); });
        }

        uint64_t append()
        {
            const Instant now = m_queue.now();
            for (size_t member = 0; member < m_copies.size(); ++member) {
                Copy& copy = m_copies[member];
                const bool primary = member == m_primary;
                const Instant received = primary ? now : now + m_deployment.latency(m_primary, member);
                const Instant applied = primary ? now : received + copy.lag;
                copy.received.push_back(copy.received.empty() ? received : std::max(received, copy.received.back()));
                copy.applied.push_back(copy.applied.empty() ? applied : std::max(applied, copy.applied.back()));
            }
            return m_copies[m_primary].received.size();
        }

        /// Time after the write until its owner knows that a second member holds it.
        Duration confirmDelay() const
        {
            Duration best = Duration::max();
            for (size_t member = 0; member < m_copies.size(); ++member) {
                if (member != m_primary)
                    best = std::min(best, 2 * m_deployment.latency(m_primary, member));
            }
            return best;
        }

        MemberStatus statusOf(size_t member) const
        {
            const Copy& copy = m_copies[member];
            MemberStatus status;
            status.term = 1;
            status.role = member == m_primary ? MemberRole::Primary : MemberRole::Replica;
            status.received = { 1, Copy::countAt(copy.received, m_queue.now()) };
            status.applied = { 1, Copy::countAt(copy.applied, m_queue.now()) };
            return status;
        }

        void poll(size_t owner, size_t member)
        {
            const Instant sent = m_queue.now();
            const MemberStatus known = m_known[{ owner, member }];
            m_queue.after(m_deployment.latency(owner, member), [this, owner, member, sent, known] {
                answerPoll(owner, member, sent, known, m_queue.now() + longestPoll);
            });
        }

        void answerPoll(size_t owner, size_t member, Instant sent, const MemberStatus& known, Instant until)
        {
            const MemberStatus status = statusOf(member);
            if (status.received == known.received && status.applied == known.applied && m_queue.now() < until) {
                m_queue.after(pollStep, [=] { answerPoll(owner, member, sent, known, until); });
                return;
            }
            m_queue.after(m_deployment.latency(member, owner), [this, owner, member, sent, status] {
                m_known[{ owner, member }] = status;
                onStatus(owner, member, status, sent);
                const bool hurry = !m_owners[owner].waiting.empty() && member != m_primary;
                m_queue.after(hurry ? Duration(milliseconds(1)) : watchPause, [=] { poll(owner, member); });
            });
        }

        /// Asks every member besides the long polls, as GroupShard::probeAll().
        void probeAll(size_t owner)
        {
            for (size_t member = 0; member < m_copies.size(); ++member) {
                const Instant sent = m_queue.now();
                m_queue.after(m_deployment.latency(owner, member), [this, owner, member, sent] {
                    const MemberStatus status = statusOf(member);
                    m_queue.after(m_deployment.latency(member, owner),
                        [this, owner, member, status, sent] { onStatus(owner, member, status, sent); });
                });
            }
        }

        void onStatus(size_t owner, size_t member, const MemberStatus& status, Instant sent)
        {
            m_owners[owner].router->onStatus(m_group.members[member].name, status, sent, m_queue.now());
            std::vector<Waiting> waiting;
            waiting.swap(m_owners[owner].waiting);
            for (const Waiting& entry : waiting) {
                if (canServe(owner, entry))
                    execute(entry);
                else
                    m_owners[owner].waiting.push_back(entry);
            }
        }

        void checkTimeouts()
        {
            for (size_t owner = 0; owner < m_owners.size(); ++owner) {
                std::vector<Waiting> waiting;
                waiting.swap(m_owners[owner].waiting);
                for (const Waiting& entry : waiting) {
                    if (m_queue.now() >= entry.until)
                        refuse(owner, entry);
                    else
                        m_owners[owner].waiting.push_back(entry);
                }
            }
        }

        void operate(size_t index)
        {
            Session& session = m_sessions[index];
            if (session.left == 0) {
                session = Session();
                session.left = operationsPerSession;
                session.dataCentre = m_queue.pick(m_owners.size());
            }
            --session.left;
            if (m_queue.uniform(0, 1) < movePart)
                session.dataCentre = m_queue.pick(m_owners.size());
            if (m_queue.uniform(0, 1) < writePart)
                write(index);
            else
                startRead(index);
        }

        void write(size_t index)
        {
            const Duration way = m_deployment.latency(m_sessions[index].dataCentre, m_primary);
            m_queue.after(way, [this, index, way] {
                const uint64_t position = append();
                m_queue.after(confirmDelay(), [this, index, position, way] {
                    m_confirmed = std::max(m_confirmed, position);
                    m_queue.after(way, [this, index, position] {
                        m_sessions[index].token = std::max(m_sessions[index].token, position);
                        m_sessions[index].wrote = true;
                        next(index);
                    });
                });
            });
        }

        void next(size_t index)
        {
            m_queue.after(m_queue.exponential(thinkTime), [this, index] { operate(index); });
        }

        void startRead(size_t index)
        {
            static constexpr Duration ages[] = { milliseconds(100), milliseconds(500), seconds(2) };
            const Session& session = m_sessions[index];
            Read read;
            read.session = index;
            read.dataCentre = session.dataCentre;
            read.started = m_queue.now();
            read.token = session.token;
            read.wrote = session.wrote;
            if (m_queue.uniform(0, 1) < agedPart)
                read.maxAge = ages[m_queue.pick(3)];
            DispatchRequest request;
            request.readOnly = true;
            request.dataCentre = m_deployment.dataCentres[read.dataCentre].name;
            request.region = m_deployment.dataCentres[read.dataCentre].region;
            request.deadline = read.started + seconds(5);
            read.plan = std::make_shared<DispatchPlan>(m_group, request, m_group.members[m_primary].name);
            const DispatchPlan::Attempt attempt = read.plan->first();
            m_reads.push_back(read);
            this->attempt(m_reads.size() - 1, attempt);
        }

        size_t indexOf(const std::string& member) const
        {
            for (size_t i = 0; i < m_group.members.size(); ++i) {
                if (m_group.members[i].name == member)
                    return i;
            }
            throw std::logic_error("unknown member " + member);
        }

        void attempt(size_t read, const DispatchPlan::Attempt& attempt)
        {
            const size_t member = indexOf(attempt.member);
            const size_t from = m_reads[read].dataCentre;
            if (!m_deployment.sameRegion(from, member))
                m_bytes += m_messageBytes;
            const std::optional<Duration> limit = attempt.waitLimit;
            m_queue.after(
                m_deployment.latency(from, member), [this, read, member, limit] { admit(read, member, limit); });
        }

        ReadRequirement requirementOf(const Waiting& entry) const
        {
            ReadRequirement need;
            need.minPosition = { m_reads[entry.read].token ? 1U : 0U, m_reads[entry.read].token };
            need.maxAge = m_reads[entry.read].maxAge;
            need.arrived = entry.arrived;
            // The owner of a member is in the member's data centre.
            need.dataCentre = m_deployment.dataCentres[entry.member].name;
            need.region = m_deployment.dataCentres[entry.member].region;
            return need;
        }

        bool canServe(size_t owner, const Waiting& entry) const
        {
            if (entry.member == m_primary && !m_reads[entry.read].maxAge)
                return true;
            return m_owners[owner].router->canServe(m_group.members[entry.member].name, requirementOf(entry));
        }

        void admit(size_t read, size_t member, std::optional<Duration> limit)
        {
            Waiting entry { read, member, m_queue.now(), {} };
            if (canServe(member, entry)) {
                execute(entry);
                return;
            }
            const std::optional<Duration> estimate
                = m_owners[member].router->timeToReach(m_group.members[member].name, { 1, m_reads[read].token });
            Duration wait = estimate ? *estimate * 2 + defaultCatchUp : defaultCatchUp;
            if (m_reads[read].maxAge) {
                wait = std::max(wait, freshnessWait);
                probeAll(member);
            }
            entry.until = m_queue.now() + limit.value_or(wait);
            m_owners[member].waiting.push_back(entry);
        }

        void execute(const Waiting& entry)
        {
            m_queue.after(statementTime, [this, entry] {
                const Copy& copy = m_copies[entry.member];
                const uint64_t applied = Copy::countAt(copy.applied, m_queue.now());
                Read& read = m_reads[entry.read];
                if (applied < requiredAt(read, entry.member, entry.arrived))
                    ++m_stale;
                read.byReplica = entry.member != m_primary;
                const uint64_t position = std::min(applied, m_confirmed);
                m_queue.after(m_deployment.latency(entry.member, read.dataCentre), [this, entry, position] {
                    Read& done = m_reads[entry.read];
                    done.latency = m_queue.now() - done.started;
                    Session& session = m_sessions[done.session];
                    session.token = std::max(session.token, position);
                    next(done.session);
                });
            });
        }

        void refuse(size_t owner, const Waiting& entry)
        {
            MemberAnswer answer;
            answer.code = ResultCode::ReplicaBehind;
            answer.primaryHint = m_group.members[m_primary].name;
            answer.replicaHint = m_owners[owner].router->choose(requirementOf(entry), m_queue.now()).member;
            m_queue.after(m_deployment.latency(entry.member, m_reads[entry.read].dataCentre),
                [this, entry, answer] { answered(entry.read, answer); });
        }

        void answered(size_t read, const MemberAnswer& answer)
        {
            const DispatchPlan::Step step = m_reads[read].plan->next(answer, m_queue.now());
            if (const DispatchPlan::Attempt* again = std::get_if<DispatchPlan::Attempt>(&step)) {
                attempt(read, *again);
            } else if (const DispatchPlan::Wait* wait = std::get_if<DispatchPlan::Wait>(&step)) {
                const DispatchPlan::Attempt later = wait->attempt;
                m_queue.after(wait->delay, [this, read, later] { attempt(read, later); });
            } else {
                m_reads[read].failed = true;
                next(m_reads[read].session);
            }
        }

        /// The position that the data must include: the session's, and the writes older than the stated age.
        uint64_t requiredAt(const Read& read, size_t, Instant arrived) const
        {
            const uint64_t old = read.maxAge ? Copy::countAt(m_copies[m_primary].received, arrived - *read.maxAge) : 0;
            return std::max(read.token, old);
        }

        /// The member that a router would choose that knows every copy's present and future, by the costs of ReadCosts.
        size_t best(const Read& read) const
        {
            const ReadCosts costs;
            size_t choice = m_primary;
            Duration least = Duration::max();
            for (size_t member = 0; member < m_copies.size(); ++member) {
                const Instant arrived = read.started + m_deployment.latency(read.dataCentre, member);
                const uint64_t required = requiredAt(read, member, arrived);
                Duration cost = member == m_primary ? costs.primary : Duration::zero();
                if (!m_deployment.sameRegion(read.dataCentre, member))
                    cost += costs.otherRegion;
                else if (member != read.dataCentre)
                    cost += costs.sameRegion;
                if (required > 0 && member != m_primary) {
                    const Duration wait
                        = std::max(Duration::zero(), Duration(m_copies[member].applied[required - 1] - arrived));
                    cost += wait > costs.maxWait ? Duration(seconds(100)) : wait;
                }
                if (cost < least) {
                    least = cost;
                    choice = member;
                }
            }
            return choice;
        }

        /// The nearest replica before the session's first write, the primary afterwards.
        size_t baseline(const Read& read) const
        {
            if (read.wrote)
                return m_primary;
            size_t choice = m_primary;
            Duration least = Duration::max();
            for (size_t member = 0; member < m_copies.size(); ++member) {
                if (member != m_primary && m_deployment.latency(read.dataCentre, member) < least) {
                    least = m_deployment.latency(read.dataCentre, member);
                    choice = member;
                }
            }
            return choice;
        }

        uint64_t crossing(const Read& read, size_t member) const
        {
            return m_deployment.sameRegion(read.dataCentre, member) ? 0 : m_messageBytes;
        }

        void evaluate(Totals& totals)
        {
            for (const Read& read : m_reads) {
                if (read.latency == Duration::zero() && !read.failed)
                    continue; // Still under way at the end.
                ++totals.reads;
                totals.failed += read.failed ? 1 : 0;
                totals.replica += read.byReplica ? 1 : 0;
                const size_t bestMember = best(read);
                const size_t baselineMember = baseline(read);
                totals.bestReplica += bestMember != m_primary ? 1 : 0;
                totals.baselineReplica += baselineMember != m_primary ? 1 : 0;
                totals.bestBytes += crossing(read, bestMember);
                totals.baselineBytes += crossing(read, baselineMember);
                totals.latencies.push_back(bench::milliseconds(read.latency));
            }
            totals.stale += m_stale;
            totals.bytes += m_bytes;
        }

        const Deployment& m_deployment;
        size_t m_primary;
        EventQueue m_queue;
        GroupConfig m_group;
        std::vector<Copy> m_copies;
        std::vector<Owner> m_owners;
        std::vector<Session> m_sessions;
        std::vector<Read> m_reads;
        std::map<std::pair<size_t, size_t>, MemberStatus> m_known;
        uint64_t m_confirmed = 0;
        uint64_t m_stale = 0;
        uint64_t m_bytes = 0;
        size_t m_messageBytes = 0;
    };

    double share(uint64_t part, uint64_t whole)
    {
        return whole ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

} // namespace

void benchReads(Report& report)
{
    const Duration length = report.options().quick ? seconds(20) : seconds(120);
    for (const Deployment& deployment : deployments()) {
        Totals totals;
        for (size_t primary = 0; primary < deployment.dataCentres.size(); ++primary)
            ReadTrace(deployment, primary, report.options().seed * 100 + primary).run(length, totals);
        Result result { "replica_read_share", deployment.name, "moving_sessions", share(totals.replica, totals.reads),
            "share", share(totals.baselineReplica, totals.reads), {} };
        result.details["best"] = share(totals.bestReplica, totals.reads);
        result.details["reads"] = static_cast<double>(totals.reads);
        result.details["failed"] = static_cast<double>(totals.failed);
        result.details["p50_ms"] = percentile(totals.latencies, 0.5);
        result.details["p99_ms"] = percentile(totals.latencies, 0.99);
        report.add(result);
        report.add({ "stale_reads", deployment.name, "moving_sessions", static_cast<double>(totals.stale), "reads",
            std::nullopt, {} });
        Result bytes { "cross_region_bytes", deployment.name, "per_1000_reads",
            1000 * share(totals.bytes, totals.reads), "bytes", 1000 * share(totals.baselineBytes, totals.reads), {} };
        bytes.details["best"] = 1000 * share(totals.bestBytes, totals.reads);
        report.add(bytes);
    }
}

} // namespace plantainwall::bench
