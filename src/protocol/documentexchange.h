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
    /// So long ago the log held nothing newer; nothing if the sender doesn't know.
    std::optional<Duration> age;
};

/// Asks for a document that is newer than this version.
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

/// `NotFound` for a payload that belongs to another exchange, `InvalidArgument` for a bad one.
RetVal<DocumentMessage> decodeDocumentMessage(const std::string &payload);

} // namespace ivyspar
