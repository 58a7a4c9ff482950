#include "app/commandline.h"

int main(int argc, char **argv)
{
    return ivyspar::runCommandLine(argc, argv);
}
