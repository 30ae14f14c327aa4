#include "memory_budget.h"
#include <algorithm>
#include <utility>

namespace plantainwall {

namespace {

    /// A session may hold one message of the largest size and some more, whatever the budget.
    constexpr size_t minStateLimit = 2 * 1024 * 1024;

    constexpr size_t stateFraction = 16; ///< Sessions of this number fill the budget with values and names.

} // namespace

MemoryBudget::MemoryBudget(size_t totalBytes)
    : m_total(totalBytes)
{
}

size_t MemoryBudget::share(const MemoryAccount& account) const
{
    const Owner& owner = account.m_owner->second;
    // An account that is about to become large counts as large.
    const size_t owners = m_largeOwners + (owner.large == 0 ? 1 : 0);
    const size_t accounts = owner.large + (account.large() ? 0 : 1);
    return std::max(smallBytes, m_total / 2 / owners / accounts);
}

bool MemoryBudget::mayGrow(const MemoryAccount& account, size_t bytes) const
{
    const size_t next = m_held + bytes;
    if (next < m_total / 2)
        return true;
    if (account.ofServer())
        return next < fullLevel() || isLargestOfServers(account);
    const size_t own = account.size() + bytes;
    if (own <= smallBytes)
        return next < m_total;
    return next < fullLevel() && own <= share(account);
}

bool MemoryBudget::isLargestOfServers(const MemoryAccount& account) const
{
    return std::none_of(m_accounts.begin(), m_accounts.end(),
        [&](const MemoryAccount* it) { return it->ofServer() && it->m_held > account.m_held; });
}

MemoryBudget::Owners::iterator MemoryBudget::join(std::string_view owner)
{
    auto it = m_owners.find(owner);
    if (it == m_owners.end())
        it = m_owners.emplace(owner, Owner()).first;
    ++it->second.accounts;
    return it;
}

void MemoryBudget::leave(Owners::iterator it)
{
    if (--it->second.accounts == 0)
        m_owners.erase(it);
}

void MemoryBudget::add(MemoryAccount& account, size_t removed, size_t added)
{
    Owner& owner = account.m_owner->second;
    const bool wasLarge = account.m_large;
    const bool wasFull = full();
    account.m_held = account.m_held - removed + added;
    owner.bytes = owner.bytes - removed + added;
    m_held = m_held - removed + added;
    account.m_large = account.size() > smallBytes;
    if (account.m_large != wasLarge) {
        if (wasLarge)
            m_largeOwners -= --owner.large == 0 ? 1 : 0;
        else
            m_largeOwners += owner.large++ == 0 ? 1 : 0;
    }
    if (!wasFull && full() && m_fullHandler)
        m_fullHandler();
}

std::vector<MemoryAccount*> MemoryBudget::accountsToClose(Instant now)
{
    std::vector<MemoryAccount*> closing;
    if (!underPressure()) {
        if (std::exchange(m_marked, false)) {
            for (MemoryAccount* const it : m_accounts)
                it->m_largeSince = {};
        }
        return closing;
    }
    std::map<const Owner*, size_t> bytesOf;
    std::vector<MemoryAccount*> candidates;
    size_t held = m_held;
    for (MemoryAccount* const it : m_accounts) {
        if (it->ofServer())
            continue;
        const Owner* const owner = &it->m_owner->second;
        bytesOf.emplace(owner, owner->bytes);
        if (it->m_closing) {
            bytesOf[owner] -= it->m_held;
            held -= it->m_held;
        } else if (!it->large()) {
            it->m_largeSince = {};
            // Small ones that wait for room would otherwise wait for each other.
            if (full() && it->m_held > smallBytes)
                candidates.push_back(it);
        } else {
            if (it->m_largeSince == Instant())
                it->m_largeSince = now;
            m_marked = true;
            candidates.push_back(it);
        }
    }
    while (held >= m_total / 2 && !candidates.empty()) {
        const bool urgent = held >= fullLevel();
        auto chosen = candidates.end();
        const auto before = [&](const MemoryAccount& a, const MemoryAccount& b) {
            if (a.m_lends != b.m_lends)
                return b.m_lends;
            const size_t aOwner = bytesOf[&a.m_owner->second];
            const size_t bOwner = bytesOf[&b.m_owner->second];
            if (aOwner != bOwner)
                return aOwner > bOwner;
            const bool aRuns = a.held(MemoryUse::Statement) > 0;
            const bool bRuns = b.held(MemoryUse::Statement) > 0;
            return aRuns != bRuns ? bRuns : a.m_held > b.m_held;
        };
        for (auto it = candidates.begin(); it != candidates.end(); ++it) {
            const bool isDue = (*it)->large() && now - (*it)->m_largeSince >= largeLimit;
            if (!urgent && ((*it)->m_lends || !isDue))
                continue;
            if (chosen == candidates.end() || before(**it, **chosen))
                chosen = it;
        }
        if (chosen == candidates.end())
            break;
        MemoryAccount* const account = *chosen;
        bytesOf[&account->m_owner->second] -= account->m_held;
        held -= account->m_held;
        account->m_closing = true;
        closing.push_back(account);
        candidates.erase(chosen);
    }
    return closing;
}

MemoryAccount::MemoryAccount(MemoryBudget& budget, std::string_view owner, std::function<void()> close)
    : close(std::move(close))
    , m_budget(budget)
    , m_owner(budget.join(owner))
    , m_index(budget.m_accounts.size())
{
    budget.m_accounts.push_back(this);
}

MemoryAccount::~MemoryAccount()
{
    m_budget.m_state -= held(MemoryUse::State);
    m_budget.add(*this, m_held, 0);
    m_budget.leave(m_owner);
    MemoryAccount* const last = m_budget.m_accounts.back();
    last->m_index = m_index;
    m_budget.m_accounts[m_index] = last;
    m_budget.m_accounts.pop_back();
}

void MemoryAccount::setOwner(std::string_view owner)
{
    const size_t bytes = m_held;
    const auto next = m_budget.join(owner);
    m_budget.add(*this, bytes, 0);
    m_budget.leave(m_owner);
    m_owner = next;
    m_budget.add(*this, 0, bytes);
}

void MemoryAccount::set(MemoryUse use, size_t bytes)
{
    const size_t before = std::exchange(m_uses[static_cast<size_t>(use)], bytes);
    if (before == bytes)
        return;
    if (use == MemoryUse::State)
        m_budget.m_state = m_budget.m_state - before + bytes;
    m_budget.add(*this, before, bytes);
}

size_t MemoryAccount::readAllowance(size_t wanted) const
{
    if (m_budget.mayGrow(*this, wanted))
        return wanted;
    const size_t room = size() < MemoryBudget::smallBytes ? MemoryBudget::smallBytes - size() : 0;
    const size_t some = std::min(wanted, room);
    return some > 0 && m_budget.mayGrow(*this, some) ? some : 0;
}

size_t MemoryAccount::stateLimit() const { return std::max(minStateLimit, m_budget.m_total / stateFraction); }

bool MemoryAccount::mayKeep(size_t bytes) const
{
    const size_t own = held(MemoryUse::State);
    if (bytes <= own)
        return true;
    const size_t others = m_budget.m_state - own;
    // The rest beyond half of the budget is for sessions with small values.
    const size_t limit = bytes <= MemoryBudget::smallBytes ? m_budget.m_total * 5 / 8 : m_budget.m_total / 2;
    return bytes <= stateLimit() && others + bytes <= limit;
}

} // namespace plantainwall
