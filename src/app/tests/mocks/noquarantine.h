#pragma once

#include "app/internal/quarantine/iquarantine.h"

namespace ivyspar {

/// A quarantine without suspects.
class NoQuarantine : public IQuarantine
{
public:
    bool hasSuspects() const override { return false; }
    Assessment assess(const Fingerprint & /*fingerprint*/) const override { return {}; }
    Assessment assess(const Fingerprint & /*fingerprint*/,
                      const ServerKind & /*kind*/) const override
    {
        return {};
    }
    void recordCrash(const Fingerprint & /*fingerprint*/, const Crash & /*crash*/) override { }
    void recordCompletion(const Fingerprint & /*fingerprint*/, const ServerKind & /*kind*/) override
    {
    }
    void recordServer(const ServerKind & /*kind*/) override { }
    void setListener(ISuspectListener * /*listener*/) override { }
};

} // namespace ivyspar
