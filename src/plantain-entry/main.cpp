#include "entry_shell.h"

#include "plantainpitch/model/error.h"

#include <iostream>

using namespace plantainpitch;

int main(int argc, char **argv)
{
    entry::entry_settings values;
    runtime::settings settings("plantain-entry",
                               "accepts callers' requests and operators' commands");
    values.registerIn(settings);
    if (const auto exitCode = settings.load(argc, argv))
        return *exitCode;
    try {
        entry::entry_shell(values).run();
    } catch (const error &failure) {
        std::cerr << "plantain-entry: " << failure.what() << '\n';
        return failure.kind() == error_kind::invalid_argument ? 2 : 1;
    }
    return 0;
}
