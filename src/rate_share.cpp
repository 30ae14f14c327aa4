#include "rate_share.h"
#include <algorithm>
#include <cmath>

namespace plantainwall {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr uint64_t unconditionalSource = 0;
    constexpr uint64_t conditionalSource = 1;
    constexpr Instant never = Instant::max();

    // Two monotonic clocks drift apart by less than this part of an interval.
    constexpr double driftMargin = 0.01;
    // Time constants of the demand estimates in microseconds. The long one ignores random variation (6% at 80
    // requests/s), the short one notices new load within a few requests.
    constexpr double demandMemory = 2e6;
    constexpr double recentMemory = 250e3;
    // A new estimate assumes at least this much observed time, so that one request does not count as a high rate.
    constexpr double minObserved = 20e3;
    // Requests to be expected in the short memory before their absence counts.
    constexpr double minExpected = 8;
    // After a pause of this length the estimates start again.
    constexpr Duration demandPause = seconds(2);
    // A lender keeps this multiple of the share its demand needs. 1.3 left nothing to lend at 80% load.
    constexpr double keepFactor = 1.15;
    constexpr double wantFactor = 1.25;
    constexpr double returnFactor = 1.6;
    // A host asks when its tokens cover less than this time of its demand; a round trip between regions is 60 ms.
    constexpr double shortHorizon = 150e3;
    // Smaller loans cost more messages than they are worth.
    constexpr ShareUnits minGrant = wholeShare / 200;
    // A request for less than this is not worth a message.
    constexpr ShareUnits minRequest = wholeShare / 24;
    // Shares that end sooner are not lent on.
    constexpr Duration minLoan = milliseconds(200);

    double microseconds(Duration duration) { return static_cast<double>(duration.count()); }

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<int64_t>(microseconds(duration) * factor));
    }

    double fraction(ShareUnits units) { return static_cast<double>(units) / static_cast<double>(wholeShare); }

} // namespace

RateShare::RateShare(const LimitSettings& settings, std::string customer, std::string self, uint64_t incarnation)
    : m_settings(settings)
    , m_customer(std::move(customer))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_lastSource(conditionalSource)
{
    m_sources[unconditionalSource].until = never;
    m_sources[conditionalSource].until = Instant::min();
}

void RateShare::setLimit(double ratePerSecond, double burst, Instant now)
{
    advance(now);
    m_rate = std::max(ratePerSecond, 0.0) / 1e6;
    m_burst = std::max(burst, 0.0);
    clampLevel();
}

void RateShare::setSource(uint64_t key, ShareUnits total, Instant until, ShareUnits leaving)
{
    Source& source = m_sources[key];
    source.leaving = leaving;
    source.free += total - source.total;
    source.total = total;
    source.until = until;
}

void RateShare::setOwn(const OwnShare& own, Instant now)
{
    advance(now);
    const bool conditional = own.conditionalUntil > now;
    setSource(unconditionalSource, own.unconditional, never, own.unconditionalLeaving);
    setSource(conditionalSource, conditional ? own.conditional : 0, own.conditionalUntil,
        conditional ? own.conditionalLeaving : 0);
    clampLevel();
}

ShareUnits RateShare::usableUnits() const
{
    ShareUnits sum = 0;
    for (const auto& [key, source] : m_sources)
        sum += source.free;
    return std::max<ShareUnits>(sum, 0);
}

ShareUnits RateShare::leavingUnits() const
{
    ShareUnits sum = 0;
    for (const auto& [key, source] : m_sources)
        sum += std::clamp<ShareUnits>(source.free, 0, source.leaving);
    return sum;
}

// Units of loans whose renewal was refused and of seats that leave: a replacement has to be found before they end.
ShareUnits RateShare::endingUnits() const
{
    ShareUnits sum = leavingUnits();
    for (const auto& [id, borrowed] : m_borrowedShares) {
        if (borrowed.renewalRefused)
            sum += std::max<ShareUnits>(m_sources.at(borrowed.source).free, 0);
    }
    return sum;
}

ShareUnits RateShare::lastingUnits() const { return std::max<ShareUnits>(usableUnits() - endingUnits(), 0); }

void RateShare::clampLevel() { m_level = std::min(m_level, fraction(usableUnits()) * m_burst); }

// Refills the bucket up to now. Shares that ended before now refill only until their end.
void RateShare::advance(Instant now)
{
    while (m_updated < now) {
        Instant until = now;
        for (const auto& [key, source] : m_sources) {
            if (source.total > 0 && source.until > m_updated)
                until = std::min(until, source.until);
        }
        const double elapsed = microseconds(until - m_updated);
        m_level += fraction(usableUnits()) * m_rate * elapsed;
        m_demand *= std::exp(-elapsed / demandMemory);
        m_recentDemand *= std::exp(-elapsed / recentMemory);
        m_updated = until;
        clampLevel();
        expire(until);
    }
}

void RateShare::expire(Instant now)
{
    for (std::map<ShareId, Loan>::iterator it = m_loans.begin(); it != m_loans.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        // The borrower may have used every token of the loan: the share comes back empty.
        creditLoan(it->second);
        it = m_loans.erase(it);
    }
    Source& conditional = m_sources[conditionalSource];
    if (conditional.total && conditional.until <= now)
        setSource(conditionalSource, 0, conditional.until);
    for (std::map<ShareId, BorrowedShare>::iterator it = m_borrowedShares.begin(); it != m_borrowedShares.end();) {
        if (m_sources.at(it->second.source).until > now) {
            ++it;
            continue;
        }
        m_sources.erase(it->second.source);
        it = m_borrowedShares.erase(it);
    }
    for (std::map<ShareId, Pending>::iterator it = m_pending.begin(); it != m_pending.end();)
        it = it->second.sent + m_settings.loanLease <= now ? m_pending.erase(it) : std::next(it);
    clampLevel();
}

void RateShare::creditLoan(const Loan& loan)
{
    for (const auto& [key, units] : loan.parts) {
        const std::map<uint64_t, Source>::iterator source = m_sources.find(key);
        if (source != m_sources.end())
            source->second.free += units;
    }
}

bool RateShare::tryAdmit(Instant now)
{
    advance(now);
    countDemand(now);
    if (m_level < 1)
        return false;
    m_level -= 1;
    return true;
}

bool RateShare::awaitsLoan(Instant sentBy, Instant now) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const std::pair<const ShareId, Pending>& it) {
        return it.second.sent <= sentBy && now < it.second.sent + loanAnswerTimeout;
    });
}

Duration RateShare::retryAfter(Instant now)
{
    advance(now);
    const double refill = fraction(usableUnits()) * m_rate;
    const double longest = microseconds(seconds(60));
    const bool possible = refill > 0 && fraction(usableUnits()) * m_burst >= 1;
    const double wait = possible ? (1 - m_level) / refill : microseconds(seconds(1));
    return Duration(static_cast<int64_t>(std::clamp(wait, 0.0, longest)));
}

ShareUnits RateShare::usable(Instant now)
{
    advance(now);
    return usableUnits();
}

double RateShare::level(Instant now)
{
    advance(now);
    return m_level;
}

void RateShare::countDemand(Instant now)
{
    if (m_demandSince == Instant() || m_lastDemand + demandPause < now) {
        m_demandSince = now;
        m_demand = 0;
        m_recentDemand = 0;
    }
    m_demand += 1 / demandMemory;
    m_recentDemand += 1 / recentMemory;
    m_lastDemand = now;
}

// Estimates start at zero; dividing by the part of their memory that has been observed removes the bias.
double RateShare::steadyDemand() const
{
    const double observed = std::max(microseconds(m_updated - m_demandSince), minObserved);
    return m_demand / (1 - std::exp(-observed / demandMemory));
}

// Demand for which a lender keeps share. Load that has moved to another host is noticed at once if enough requests were
// to be expected; with the long memory alone its share followed only after two seconds.
double RateShare::keptDemand() const
{
    const double steady = steadyDemand();
    const bool telling = steady * recentMemory > minExpected;
    return telling && m_recentDemand < steady / 4 ? m_recentDemand : steady;
}

double RateShare::presentDemand() const
{
    const double observed = std::max(microseconds(m_updated - m_demandSince), minObserved);
    const double recent = m_recentDemand / (1 - std::exp(-observed / recentMemory));
    const double steady = steadyDemand();
    return recent > 2 * steady ? recent : keptDemand();
}

// Units whose rate is the given demand.
ShareUnits RateShare::unitsFor(double demand) const
{
    if (m_rate <= 0)
        return 0;
    return static_cast<ShareUnits>(std::min(demand / m_rate, 1.0) * static_cast<double>(wholeShare));
}

// Tokens missing for the demand of the near future.
double RateShare::tokensShort() const
{
    const double needed = std::min(1 + presentDemand() * shortHorizon, std::max(m_burst, 1.0) / 2);
    return std::max(0.0, needed - m_level);
}

bool RateShare::isShort(Instant now)
{
    advance(now);
    const bool active = m_demandSince > Instant() && m_lastDemand + demandPause > now;
    return active && m_rate > 0 && (tokensShort() > 0 || lastingUnits() < unitsFor(presentDemand()));
}

bool RateShare::idle(Instant now)
{
    advance(now);
    return m_borrowedShares.empty() && m_loans.empty() && m_pending.empty() && m_lastDemand + seconds(10) < now;
}

ShareUnits RateShare::lendable(Instant now)
{
    advance(now);
    const ShareUnits kept = unitsFor(keptDemand() * keepFactor);
    return isShort(now) ? 0 : std::max<ShareUnits>(usableUnits() - leavingUnits() - kept, 0);
}

// How long a part of a source may be lent. The borrower's clock may be slower than this host's.
Duration RateShare::lendingTime(const Source& source, Instant now) const
{
    if (source.until == never)
        return m_settings.loanLease;
    if (source.until <= now)
        return Duration(0);
    return std::min(m_settings.loanLease, scaled(source.until - now, 1 - driftMargin));
}

ShareMessage RateShare::makeMessage(ShareMessageKind kind, std::string_view to, const ShareId& id) const
{
    ShareMessage message;
    message.kind = kind;
    message.customer = m_customer;
    message.from = m_self;
    message.to = to;
    message.id = id;
    return message;
}

ShareMessage RateShare::makeRequest(std::string_view to, bool toPool, ShareUnits units, Instant now)
{
    const ShareId id { m_self, m_incarnation, ++m_lastNumber };
    m_pending[id] = Pending { now, std::string(to) };
    ShareMessage message = makeMessage(ShareMessageKind::Request, to, id);
    message.toPool = toPool;
    message.units = units;
    return message;
}

ShareMessage RateShare::lend(const ShareMessage& request, Instant now)
{
    ShareMessage grant = makeMessage(ShareMessageKind::Grant, request.from, request.id);
    const ShareUnits available = lendable(now);
    const std::map<ShareId, Loan>::iterator known = m_loans.find(request.id);
    if (known != m_loans.end()) {
        // A repeated request gets the same loan; its time still counts from the first grant.
        grant.units = known->second.units;
        grant.level = known->second.level;
        grant.duration = known->second.duration;
        return grant;
    }
    // An older request is a late copy. A second loan under one id could be credited by a repeated Return.
    std::pair<uint64_t, uint64_t>& lastRequest = m_lastRequests[request.from];
    const std::pair<uint64_t, uint64_t> asked(request.id.incarnation, request.id.number);
    if (asked <= lastRequest)
        return grant;
    lastRequest = asked;
    std::vector<std::pair<Duration, uint64_t>> sources;
    for (const auto& [key, source] : m_sources) {
        if (source.free > source.leaving && lendingTime(source, now) >= minLoan)
            sources.emplace_back(lendingTime(source, now), key);
    }
    std::sort(sources.rbegin(), sources.rend());
    Loan loan;
    loan.borrower = request.from;
    loan.duration = m_settings.loanLease;
    if (available < minGrant)
        return grant;
    ShareUnits wanted = std::min(available, request.units);
    const ShareUnits before = usableUnits();
    for (const auto& [time, key] : sources) {
        Source& source = m_sources.at(key);
        const ShareUnits part = std::min(source.free - source.leaving, wanted);
        if (part <= 0)
            break;
        source.free -= part;
        wanted -= part;
        loan.parts.emplace_back(key, part);
        loan.units += part;
        loan.duration = std::min(loan.duration, time);
    }
    if (loan.parts.empty())
        return grant;
    loan.level = m_level * static_cast<double>(loan.units) / static_cast<double>(before);
    loan.until = now + scaled(loan.duration, 1 + driftMargin);
    m_level -= loan.level;
    clampLevel();
    grant.units = loan.units;
    grant.level = loan.level;
    grant.duration = loan.duration;
    m_loans.emplace(request.id, std::move(loan));
    return grant;
}

ShareUnits RateShare::unitsToRequest(Instant now)
{
    if (!isShort(now) || now < m_nextRequest)
        return 0;
    const double tokens = m_burst > 0 ? 2 * tokensShort() / m_burst : 0;
    const ShareUnits forTokens = static_cast<ShareUnits>(std::min(tokens, 1.0) * static_cast<double>(wholeShare));
    const ShareUnits units
        = std::max({ minRequest, forTokens, unitsFor(presentDemand() * wantFactor) - lastingUnits() });
    // Doubles the pause after each refusal: while every host is short, asking again soon changes nothing.
    m_nextRequest = now + milliseconds(20) * (1 << std::min(m_refusedInRow, 4U));
    return std::min(units, wholeShare);
}

void RateShare::renewOrReturn(Instant now, std::vector<ShareMessage>& messages)
{
    for (std::map<ShareId, BorrowedShare>::iterator it = m_borrowedShares.begin(); it != m_borrowedShares.end();) {
        BorrowedShare& borrowed = it->second;
        Source& source = m_sources.at(borrowed.source);
        if (now < borrowed.nextRenewal) {
            ++it;
            continue;
        }
        const ShareUnits before = usableUnits();
        const bool unlent = source.free == source.total;
        if (unlent && !isShort(now) && before - source.total >= unitsFor(presentDemand() * returnFactor)) {
            ShareMessage message = makeMessage(ShareMessageKind::Return, borrowed.lender, it->first);
            message.level = m_level * static_cast<double>(source.total) / static_cast<double>(before);
            m_level -= message.level;
            m_sources.erase(borrowed.source);
            clampLevel();
            messages.push_back(std::move(message));
            it = m_borrowedShares.erase(it);
            continue;
        }
        const bool retry = borrowed.renewalPending && now - borrowed.renewalSent > m_settings.loanLease / 8;
        if (!borrowed.renewalRefused && (!borrowed.renewalPending || retry)) {
            borrowed.renewal = ++m_lastNumber;
            borrowed.renewalSent = now;
            borrowed.renewalPending = true;
            ShareMessage message = makeMessage(ShareMessageKind::Renew, borrowed.lender, it->first);
            message.renewal = borrowed.renewal;
            messages.push_back(std::move(message));
        }
        ++it;
    }
}

std::vector<ShareMessage> RateShare::tick(std::string_view pool, Instant now)
{
    advance(now);
    std::vector<ShareMessage> messages;
    renewOrReturn(now, messages);
    if (pool.empty() || pool == m_self)
        return messages;
    const ShareUnits units = unitsToRequest(now);
    if (units > 0)
        messages.push_back(makeRequest(pool, true, units, now));
    return messages;
}

void RateShare::receiveGrant(const ShareMessage& message, Instant now)
{
    const std::map<ShareId, Pending>::iterator pending = m_pending.find(message.id);
    // Only the first grant for a request counts; a repeated one must not be credited twice.
    if (pending == m_pending.end() || pending->second.to != message.from)
        return;
    const Instant pendingSent = pending->second.sent;
    const Instant until = pendingSent + message.duration;
    m_pending.erase(pending);
    m_refusedInRow = message.units > 0 ? 0 : m_refusedInRow + 1;
    if (message.units <= 0 || until <= now)
        return;
    BorrowedShare borrowed;
    borrowed.source = ++m_lastSource;
    borrowed.lender = message.from;
    borrowed.nextRenewal = pendingSent + message.duration / 2;
    m_sources[borrowed.source] = Source { message.units, message.units, until };
    m_borrowedShares.emplace(message.id, std::move(borrowed));
    m_level += message.level;
    clampLevel();
}

ShareMessage RateShare::renew(const ShareMessage& message, Instant now)
{
    ShareMessage answer = makeMessage(ShareMessageKind::Renewed, message.from, message.id);
    answer.renewal = message.renewal;
    const std::map<ShareId, Loan>::iterator it = m_loans.find(message.id);
    if (it == m_loans.end() || it->second.borrower != message.from)
        return answer;
    // Refused only when this host has too little share and has also used up its tokens: a short dip in its tokens must
    // not move shares back and forth.
    if (isShort(now) && m_level < 1 && usableUnits() < unitsFor(keptDemand()))
        return answer;
    Loan& loan = it->second;
    Duration duration = m_settings.loanLease;
    for (const auto& [key, units] : loan.parts) {
        const std::map<uint64_t, Source>::iterator source = m_sources.find(key);
        // Share that is taken away must come back: a source with more lent than stays is not renewed.
        if (source == m_sources.end() || source->second.free < source->second.leaving)
            return answer;
        duration = std::min(duration, lendingTime(source->second, now));
    }
    loan.until = std::max(loan.until, now + scaled(duration, 1 + driftMargin));
    answer.duration = duration;
    return answer;
}

void RateShare::receiveRenewed(const ShareMessage& message)
{
    const std::map<ShareId, BorrowedShare>::iterator it = m_borrowedShares.find(message.id);
    if (it == m_borrowedShares.end() || it->second.lender != message.from || !it->second.renewalPending
        || it->second.renewal != message.renewal)
        return;
    BorrowedShare& borrowed = it->second;
    borrowed.renewalPending = false;
    borrowed.renewalRefused = message.duration <= Duration(0);
    Source& source = m_sources.at(borrowed.source);
    source.until = std::max(source.until, borrowed.renewalSent + message.duration);
    borrowed.nextRenewal = borrowed.renewalSent + std::max(message.duration / 2, minLoan);
}

void RateShare::receiveReturn(const ShareMessage& message)
{
    const std::map<ShareId, Loan>::iterator it = m_loans.find(message.id);
    if (it == m_loans.end() || it->second.borrower != message.from)
        return;
    creditLoan(it->second);
    m_loans.erase(it);
    m_level += std::max(message.level, 0.0);
    clampLevel();
}

std::vector<ShareMessage> RateShare::receive(const ShareMessage& message, Instant now)
{
    advance(now);
    switch (message.kind) {
    case ShareMessageKind::Request:
        return { lend(message, now) };
    case ShareMessageKind::Renew:
        return { renew(message, now) };
    case ShareMessageKind::Grant:
        receiveGrant(message, now);
        break;
    case ShareMessageKind::Renewed:
        receiveRenewed(message);
        break;
    case ShareMessageKind::Return:
        receiveReturn(message);
        break;
    case ShareMessageKind::Count:
        break;
    }
    return {};
}

} // namespace plantainwall
