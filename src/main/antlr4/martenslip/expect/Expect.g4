/** Routing expectations, one a line: docs/expectations.md. */
grammar Expect;

file : NL* (statement (NL+ | EOF))* EOF ;

statement
    : 'desk' name=NAME 'is' 'exchange' number=NUMBER ('in' region=NAME)?   # desk
    | 'set' name=NAME '=' NAME (',' NAME)*                          # setOf
    | subject often? outcome conditions?                            # expectation
    ;

subject : (what='nothing' | what='anything' | skill=NAME) ('from' from=NAME)? ('to' to=NAME)? ;

often
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
