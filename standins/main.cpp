#include "standins/lab.h"

int main(int argc, char **argv)
{
    return ivyspar::lab::runLab(argc, argv);
}
