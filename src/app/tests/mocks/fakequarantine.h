#pragma once

#include <map>
#include <utility>
#include <vector>

#include "app/internal/quarantine/iquarantine.h"

namespace ivyspar {

/// Returns the assessments that the test has set, and records crashes and completions.
class FakeQuarantine : public IQuarantine
{
public:
    std::map<Fingerprint, Assessment> assessments;
    std::vector<std::pair<Fingerprint, Crash>> crashes;
    std::vector<Fingerprint> completions;

    void set(const Fingerprint &fingerprint, Suspicion suspicion)
    {
        assessments[fingerprint].suspicion = suspicion;
        if (m_listener != nullptr) {
            m_listener->onSuspectChanged(fingerprint);
        }
    }

    bool hasSuspects() const override { return !assessments.empty(); }
    Assessment assess(const Fingerprint &fingerprint) const override
    {
        const auto found = assessments.find(fingerprint);
        return found == assessments.end() ? Assessment() : found->second;
    }
    Assessment assess(const Fingerprint &fingerprint, const ServerKind & /*kind*/) const override
    {
        return assess(fingerprint);
    }
    void recordCrash(const Fingerprint &fingerprint, const Crash &crash) override
    {
        crashes.emplace_back(fingerprint, crash);
    }
    void recordCompletion(const Fingerprint &fingerprint, const ServerKind & /*kind*/) override
    {
        completions.push_back(fingerprint);
    }
    void recordServer(const ServerKind & /*kind*/) override { }
    void setListener(ISuspectListener *listener) override { m_listener = listener; }

private:
    ISuspectListener *m_listener = nullptr;
};

} // namespace ivyspar
