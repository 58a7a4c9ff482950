#include "protocol/iconfigurationreader.h"

namespace ivyspar {

std::string FileProblem::text() const
{
    const std::string where = file + ':' + std::to_string(line) + ": ";
    const std::string what = key.empty() ? problem : key + ": " + problem;
    return where + what + "; expected " + expected;
}

} // namespace ivyspar
