/**
One line of a process's log.
*/

/**
`time` in Unix milliseconds; `context` holds the fields.
*/
export type LogLine = {readonly time: number; readonly message: string; readonly context: Readonly<Record<string, unknown>>};
