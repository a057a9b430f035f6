# Compiler settings shared by every target of this workspace.
add_library(hickoryusher_options INTERFACE)
# Designated initializers may leave members at their defaults, which GCC 12 reports.
target_compile_options(hickoryusher_options INTERFACE
  -Wall -Wextra -Werror -Wno-missing-field-initializers
  # clang-tidy reads these options, too; GCC ignores the name.
  -Wno-unknown-warning-option
  # GCC 12 reports this inside moves of std::variant and, with -fsanitize, inside
  # the standard library's regex. clang-tidy's analyzer and the sanitizer builds
  # look for reads of uninitialized values.
  $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>
  # At -O3, GCC 12 reports this for "text" + std::string (GCC bug 105651).
  $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
if(HICKORYUSHER_SANITIZER)
  target_compile_options(hickoryusher_options INTERFACE
    -fsanitize=${HICKORYUSHER_SANITIZER} -fno-omit-frame-pointer
    # Line tables are enough for reports, and -O2 -g doubles the compile time.
    -O1 -g1)
  target_link_options(hickoryusher_options INTERFACE -fsanitize=${HICKORYUSHER_SANITIZER})
endif()
install(TARGETS hickoryusher_options EXPORT hickoryusherTargets)

# hickoryusher_package(NAME DEPENDS targets... PRIVATE_DEPENDS targets...)
# Declares library hickoryusher::NAME from include/NAME/*.h and src/*.cc, and
# test program NAME_tests from tests/*_test.cc. A package without sources
# becomes an interface library.
function(hickoryusher_package name)
  cmake_parse_arguments(arg "" "" "DEPENDS;PRIVATE_DEPENDS;TEST_DEPENDS" ${ARGN})
  set(target hickoryusher_${name})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    target_link_libraries(${target} PRIVATE ${arg_PRIVATE_DEPENDS} hickoryusher_options)
    target_include_directories(${target} PRIVATE src)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(hickoryusher::${name} ALIAS ${target})
  target_include_directories(${target} ${scope}
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:include>)
  target_link_libraries(${target} ${scope} ${arg_DEPENDS})
  if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/include)
    install(DIRECTORY include/ DESTINATION include)
  endif()
  install(TARGETS ${target} EXPORT hickoryusherTargets DESTINATION lib)

  file(GLOB tests CONFIGURE_DEPENDS tests/*.cc)
  if(HICKORYUSHER_TESTS AND tests)
    add_executable(${name}_tests ${tests})
    target_link_libraries(${name}_tests PRIVATE
      ${target} ${arg_TEST_DEPENDS} hickoryusher_catch_main hickoryusher_options)
    target_include_directories(${name}_tests PRIVATE src tests)
    target_compile_definitions(${name}_tests PRIVATE
      HICKORYUSHER_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    catch_discover_tests(${name}_tests TEST_PREFIX "${name}: " PROPERTIES TIMEOUT 300)
  endif()
endfunction()
