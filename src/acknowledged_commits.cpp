#include "acknowledged_commits.h"

namespace plantainwall {

void AcknowledgedCommits::note(const LogPosition& before, const LogPosition& end)
{
    latest = laterPosition(latest, end);
    // In a later term the log may have begun anew from a lower position.
    if (before.term == end.term)
        earliest = laterPosition(earliest, { before.term, before.position + 1 });
}

NewestAcknowledged newestAcknowledged(
    gsl::span<const AcknowledgedCommits> reports, bool complete, Instant lastDeparture)
{
    NewestAcknowledged result;
    LogPosition latest;
    std::optional<LogPosition> ofDeparted;
    for (const AcknowledgedCommits& report : reports) {
        result.earliest = laterPosition(result.earliest, report.earliest);
        latest = laterPosition(latest, report.latest);
        if (!report.observed || report.observed->requestedAt <= lastDeparture)
            continue;
        if (!ofDeparted || report.observed->position < *ofDeparted)
            ofDeparted = report.observed->position;
    }
    if (complete && ofDeparted)
        result.latest = laterPosition(latest, *ofDeparted);
    return result;
}

} // namespace plantainwall
