# Helpers that every package of the workspace uses.

# Warnings that every target of ours is built with.
function(mustardproxy_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow=local -Wconversion
                         -Wno-sign-conversion -Wold-style-cast -Wnon-virtual-dtor
                         -Woverloaded-virtual -Werror)
endfunction()

# mustardproxy_package(NAME [DEPENDS target...] [PRIVATE_DEPENDS target...])
# One library from src/*.cc with public headers under include/, and one test
# program <name>_tests from tests/*.cc when there are any.
function(mustardproxy_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  if(sources)
    add_library(mustardproxy_${name} STATIC ${sources})
    target_include_directories(mustardproxy_${name} PUBLIC include PRIVATE src)
    target_link_libraries(mustardproxy_${name} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
    mustardproxy_warnings(mustardproxy_${name})
  else()
    add_library(mustardproxy_${name} INTERFACE)
    target_include_directories(mustardproxy_${name} INTERFACE include)
    target_link_libraries(mustardproxy_${name} INTERFACE ${ARG_DEPENDS})
  endif()
  file(GLOB test_sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  if(test_sources AND MUSTARDPROXY_TESTS)
    mustardproxy_test(${name}_tests ${test_sources})
    target_include_directories(${name}_tests PRIVATE src)
    target_link_libraries(${name}_tests PRIVATE mustardproxy_${name} ${ARG_PRIVATE_DEPENDS})
  endif()
endfunction()

# mustardproxy_test(NAME source...): a Boost.Test program known to CTest. One of
# the sources defines BOOST_TEST_MODULE.
function(mustardproxy_test name)
  if(NOT MUSTARDPROXY_TESTS)
    return()
  endif()
  add_executable(${name} ${ARGN})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK
                             MUSTARDPROXY_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  target_link_libraries(${name} PRIVATE Boost::unit_test_framework Threads::Threads)
  mustardproxy_warnings(${name})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
