/** Exchange of notes with the peer controllers over UDP. */
package martenslip.platform.peer;
