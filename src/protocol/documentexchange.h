#pragma once

#include <optional>
#include <string>
#include <variant>

#include "state/ids.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

/// The sender has this version in force.
struct DocumentOffer
{
    ConfigurationVersion version;
    /// Time since the log was last known to hold nothing newer; nothing if the sender does not
    /// know.
    std::optional<Duration> age;
};

/// Requests a document that is newer than this version.
struct DocumentRequest
{
    ConfigurationVersion version;
};

struct DocumentPush
{
    std::string document;
};

using DocumentMessage = std::variant<DocumentOffer, DocumentRequest, DocumentPush>;

/// Payload of a `ControlMessage`.
std::string encodeDocumentMessage(const DocumentMessage &message);

/// `NotFound` for a payload of another exchange, `InvalidArgument` for a malformed one.
RetVal<DocumentMessage> decodeDocumentMessage(const std::string &payload);

} // namespace ivyspar
