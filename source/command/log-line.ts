/**
Line of the JSON log of a process.
*/

/**
`time` is the Unix time in milliseconds. `context` holds the structured fields.
*/
export type LogLine = {readonly time: number; readonly message: string; readonly context: Readonly<Record<string, unknown>>};
