#pragma once

namespace ivyspar::lab {

/// `ivyspar-lab bench`: the overload experiments with policies switched off one by one.
int runOverloadBench(int argc, char **argv);

} // namespace ivyspar::lab
