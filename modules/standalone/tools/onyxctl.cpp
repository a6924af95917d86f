// onyxctl: the operators' command line.
#include "modules/standalone/include/admin/Ctl.h"

int main(int argc, char** argv) {
    return onyx::RunCtl(argc, argv);
}
