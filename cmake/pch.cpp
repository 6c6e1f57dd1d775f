// Gives the precompiled header a library to live in; see cmake/whintack.cmake.
