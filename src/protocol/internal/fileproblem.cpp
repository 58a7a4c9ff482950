#include "protocol/iconfigurationreader.h"

namespace ivyspar {

std::string FileProblem::text() const
{
    return file + ':' + std::to_string(line) + ": " + key + ": " + problem + "; expected "
        + expected;
}

} // namespace ivyspar
