#pragma once

#include <sys/types.h>

#include "state/time.h"

namespace ivyspar::lab {

struct ProcessUsage
{
    /// Processor time in user and system mode since the start.
    Duration processor{ 0 };
    /// Resident memory, in kB.
    double residentKb = 0;
    /// Of that, memory that is not shared with files, such as the program's text.
    double anonymousKb = 0;
};

/// Read from the kernel's account of the process; zeros when there is none.
ProcessUsage readUsage(pid_t pid);

} // namespace ivyspar::lab
