/** Routing expectations, one per line; docs/expectations.md describes the language. */
grammar Expect;

file : NL* (statement (NL+ | EOF))* EOF ;

statement
    : 'desk' name=NAME 'is' 'exchange' number=NUMBER ('in' region=NAME)?   # deskDefinition
    | 'set' name=NAME '=' NAME (',' NAME)*                          # setDefinition
    | subject quantifier? outcome conditions?                       # expectation
    ;

subject : (scope='nothing' | scope='anything' | skill=NAME) ('from' origin=NAME)? ('to' destination=NAME)? ;

quantifier
    : 'always'                                                      # always
    | 'never'                                                       # never
    | 'may'                                                         # may
    | 'at' 'least' NUMBER '%'                                       # atLeast
    ;

outcome
    : ('goes' | 'go') route (',' 'else' route)*                     # goes
    | ('stands' | 'stand')                                          # stands
    | ('is' | 'be') 'deferred'                                      # deferred
    ;

route : 'direct' # direct | 'via' NAME ('or' NAME)* # via ;

conditions : 'while' condition ('and' condition)* ;

condition
    : NAME 'is' state=('draining' | 'gone' | 'cold' | 'pressed' | 'silent')    # deskState
    | 'it' 'is' state=('draining' | 'gone' | 'cold' | 'pressed' | 'silent')    # itsState
    | 'group' NAME 'is' state=('full' | 'gone')                     # groupState
    | 'group' NAME 'has' NUMBER 'free'                              # groupFree
    | 'region' NAME 'is' 'cut' 'off'                                # regionCut
    ;

NUMBER : [0-9]+ ;
NAME : [A-Za-z0-9] [A-Za-z0-9._\-]* ;
NL : [\r\n]+ ;
BLANK : [ \t]+ -> skip ;
COMMENT : '#' ~[\r\n]* -> skip ;
