# Precompiled header with the headers that most sources include and that take
# long to compile.
add_library(whintack_pch OBJECT ${CMAKE_CURRENT_LIST_DIR}/pch.cpp)
target_link_libraries(whintack_pch PRIVATE cpprestsdk::cpprest)
target_precompile_headers(whintack_pch PRIVATE
  <boost/outcome/result.hpp> <cpprest/json.h> <functional> <map> <memory>
  <mutex> <sstream> <string> <vector>)

# Adds the static library whintack_NAME from the current directory.
#   whintack_add_library(NAME SOURCES a.cpp ... [DEPENDS ...] [PRIVATE_DEPENDS ...])
function(whintack_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(whintack_${name} STATIC ${ARG_SOURCES})
  target_include_directories(whintack_${name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(whintack_${name}
    PUBLIC ${ARG_DEPENDS}
    PRIVATE ${ARG_PRIVATE_DEPENDS})
  if("cpprestsdk::cpprest" IN_LIST ARG_DEPENDS OR
     "cpprestsdk::cpprest" IN_LIST ARG_PRIVATE_DEPENDS)
    target_precompile_headers(whintack_${name} REUSE_FROM whintack_pch)
  endif()
endfunction()

# Adds the test program tst_NAME and registers it with CTest.
#   whintack_add_test(NAME SOURCES tst_a.cpp ... DEPENDS ... [ARGUMENTS ...])
function(whintack_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
  add_executable(tst_${name} ${ARG_SOURCES})
  target_link_libraries(tst_${name} PRIVATE whintack_catchmain ${ARG_DEPENDS})
  target_compile_definitions(tst_${name}
    PRIVATE WHINTACK_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND tst_${name} ${ARG_ARGUMENTS})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
