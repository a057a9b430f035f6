#ifndef PARSER_RUNS_H_
#define PARSER_RUNS_H_

#include <string>
#include <string_view>

#include "http/request_parser.h"

/// What the fuzz targets of the request parser share.
namespace hickoryusher::fuzz {

/// How an input is cut into pieces; each byte gives the size of a piece, from 1
/// byte on, and the sizes repeat. Empty for one piece.
using PieceSizes = std::string_view;

/// @returns a description of everything that a parser reads from @p text: each
/// request with its fields, an error, and what is left incomplete.
std::string DescribeRun(std::string_view text,
                        http::ParseLimits limits,
                        PieceSizes sizes);

/// Ends the program with both descriptions if the parser reads @p text in
/// pieces in another way than as a whole.
/// @returns the description.
std::string CheckPieces(std::string_view text,
                        http::ParseLimits limits,
                        PieceSizes sizes);

/// Ends the program with @p message.
[[noreturn]] void Fail(std::string_view message);

}  // namespace hickoryusher::fuzz

#endif  // PARSER_RUNS_H_
