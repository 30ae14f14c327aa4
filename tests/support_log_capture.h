#pragma once

#include <iostream>
#include <sstream>

namespace plantainwall {

/// Redirects std::cerr, which the log writes to.
struct CerrCapture {
    std::ostringstream text;
    std::streambuf* const before = std::cerr.rdbuf(text.rdbuf());

    void clear() { text.str({}); }

    ~CerrCapture() { std::cerr.rdbuf(before); }
};

} // namespace plantainwall
