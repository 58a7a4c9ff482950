#pragma once

#include "coordination/quarantine/suspect.h"

namespace ivyspar {

/// Notified when the record of a request has changed.
class ISuspectListener
{
public:
    virtual ~ISuspectListener() = default;

    virtual void onSuspectChanged(const Fingerprint &fingerprint) = 0;
};

/// Access of entries and gates to this daemon's records of requests that crash servers. Traffic
/// thread only.
class IQuarantine
{
public:
    virtual ~IQuarantine() = default;

    /// If false, every assessment is `Suspicion::None`, and callers can skip computing the
    /// fingerprint.
    virtual bool hasSuspects() const = 0;
    /// Assesses the request before a server is chosen.
    virtual Assessment assess(const Fingerprint &fingerprint) const = 0;
    /// Assesses the request for a server of that kind.
    virtual Assessment assess(const Fingerprint &fingerprint, const ServerKind &kind) const = 0;

    /// A server of this host crashed while such a request was in progress there.
    virtual void recordCrash(const Fingerprint &fingerprint, const Crash &crash) = 0;
    /// A server of this host has completed such a request.
    virtual void recordCompletion(const Fingerprint &fingerprint, const ServerKind &kind) = 0;
    /// A server of this host accepts calls.
    virtual void recordServer(const ServerKind &kind) = 0;
    /// Replaces the current listener; may be null. The listener must outlive its registration.
    virtual void setListener(ISuspectListener *listener) = 0;
};

} // namespace ivyspar
