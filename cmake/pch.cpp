// An otherwise empty source file, because the object library that builds the
// precompiled header needs one. See cmake/whintack.cmake.
