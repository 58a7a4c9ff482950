#pragma once

#include "coordination/quarantine/suspect.h"

namespace ivyspar {

/// Told when something was learnt of a request.
class ISuspectListener
{
public:
    virtual ~ISuspectListener() = default;

    virtual void onSuspectChanged(const Fingerprint &fingerprint) = 0;
};

/// What this daemon knows of requests that crash servers, as entries and gates ask and tell it.
/// Traffic thread only.
class IQuarantine
{
public:
    virtual ~IQuarantine() = default;

    /// False: nothing need be asked, nor a fingerprint be worked out for it.
    virtual bool hasSuspects() const = 0;
    /// Before a server is chosen.
    virtual Assessment assess(const Fingerprint &fingerprint) const = 0;
    /// At a server of that kind.
    virtual Assessment assess(const Fingerprint &fingerprint, const ServerKind &kind) const = 0;

    /// The run of a server of this host ended while it worked on such a request.
    virtual void recordCrash(const Fingerprint &fingerprint, const Crash &crash) = 0;
    /// A server of this host has answered such a request.
    virtual void recordCompletion(const Fingerprint &fingerprint, const ServerKind &kind) = 0;
    /// A server of this host takes calls.
    virtual void recordServer(const ServerKind &kind) = 0;
    /// May be null; replaces the one before.
    virtual void setListener(ISuspectListener *listener) = 0;
};

} // namespace ivyspar
